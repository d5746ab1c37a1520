package rig;

import java.util.concurrent.ThreadLocalRandom;

/**
 * All processes are killed and start again, while the store turns one machine away: the one that last wrote to it under a
 * condition. It serves the other machines.
 */
final class OwnerTurnedAway extends Case {

    private static final String[] ZONES = {"tartu-a", "tartu-b"};
    private static final long CPU = 4_000;
    private static final long WORKS_MS = 100;
    private static final long DEADLINE_MS = 1_500;
    private static final double PER_SECOND = 60;

    /** The longest time for which the site files have the store turn machines away; it does so twice. */
    private static final long TURNED_AWAY_MS = 9_000;

    private static final long DOWN_MS = 510;
    private static final long RECOVERY_MS = 12_000;

    private OwnerTurnedAway() throws Exception {}

    @Override
    boolean play() throws Exception {
        configure(true);
        for (int i = 0; i < 6; i++) {
            Minion.Kind k = new Minion.Kind("case-service", ZONES[i % 2], "kind-a", "r1-" + i, 16_000, 65_536, true);
            minions.add(new Minion("i-" + newId().substring(8), "127.0.0.1", k, store, record, new Minion.Observer() {}));
        }
        startVms("tartu-a", "tartu-a", "tartu-b", "tartu-b");
        Balancer balancer = new Balancer(vms);
        Load load = new Load(record);
        long beginMs = record.nowMs();
        long faultMs = beginMs + 6_000;
        long backMs = faultMs + DOWN_MS;
        long endMs = faultMs + 2 * TURNED_AWAY_MS - 1_500;
        Thread faults = new Thread(() -> strike(faultMs));
        if (trouble) {
            faults.start();
        }
        load.run(endMs, PER_SECOND, () -> balancer.choose(ZONES[ThreadLocalRandom.current().nextInt(2)]),
                () -> Caller.job(Specs.of(WORKS_MS, CPU), 2, CPU, 64, WORKS_MS, ""), DEADLINE_MS);
        balancer.close();
        load.report(beginMs, endMs, 1_500);
        int[] before = load.count(beginMs, faultMs - DEADLINE_MS);
        int[] after = load.count(backMs + RECOVERY_MS, endMs);
        load.close();
        record.say("before the final fault: " + before[1] + " of " + before[0] + " requests were served");
        record.say("later than 12 s after the machines were back: " + after[1] + " of " + after[0]);
        if (before[1] * 4 < before[0]) {
            throw new CannotRun("less than a quarter was served before the fault");
        }
        return after[1] * 4 >= after[0];
    }

    private void strike(long atMs) {
        try {
            Thread.sleep(Math.max(0, atMs - record.nowMs()));
            Vm owner = owner();
            owner.door.refuses = true;
            record.say("the store turns " + owner.name + " away, which wrote to it last");
            for (Vm v : vms) {
                v.signal("KILL");
            }
            record.say("all processes are killed");
            Thread.sleep(DOWN_MS);
            for (Vm v : vms) {
                v.start();
            }
            record.say("all processes are started again");
            Thread.sleep(2 * TURNED_AWAY_MS - DOWN_MS);
            owner.door.refuses = false;
            record.say("the store serves " + owner.name + " again");
        } catch (Exception e) {
            record.say("fault failed: " + e);
        }
    }

    public static void main(String[] args) throws Exception {
        run(new OwnerTurnedAway());
    }
}
