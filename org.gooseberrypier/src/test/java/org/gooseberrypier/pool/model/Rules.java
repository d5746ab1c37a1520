package org.gooseberrypier.pool.model;

/**
 * Rules of owners and entry VMs that the model can switch.
 *
 * @param name the name in reports
 * @param bounded whether a forward names for how long the job is awaited at most, and no order or lease goes beyond
 * @param overdueFirst whether an entry VM ends overdue calls before it acknowledges a heartbeat
 * @param withdrawsAnswered whether an entry VM withdraws a job that it has answered by an outcome of the owner
 * @param streamBound whether a message is sent only on the stream that the entry VM's core knows to be up
 * @param heardByHeartbeats whether a job counts as awaited at the time of the last acknowledged heartbeat only, and not also when
 *     its forward is received, which may be long after it was sent
 */
record Rules(
        String name,
        boolean bounded,
        boolean overdueFirst,
        boolean withdrawsAnswered,
        boolean streamBound,
        boolean heardByHeartbeats) {

    /** Rules by which only a withdrawal or the loss of the link ends a job. */
    static final Rules WITHDRAWALS = new Rules("withdrawals", false, false, false, false, false);

    /** The rules with a bound that travels with the job, and without the gaps that the bound leaves. */
    static final Rules BOUNDED = new Rules("bounded", true, true, true, true, true);
}
