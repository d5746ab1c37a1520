package org.gooseberrypier.random;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** The faults and planned changes that a run applies to VMs, links, log and configuration at random times. */
enum Fault {
    /** A VM is killed and restarted some seconds later. */
    KILL,
    /** Two VMs are killed at the same time. */
    KILL_TWO,
    /** A VM is paused and later resumes without a notification of the pause. */
    PAUSE,
    /** Messages between two VMs are lost in one or both directions. */
    CUT_LINK,
    /** An availability zone is cut off from the others and from the log. */
    CUT_ZONE,
    /** The log is unreachable for one VM or for all. */
    LOG_OUTAGE,
    /** Old records of the log expire. */
    EXPIRE_LOG,
    /** Operators publish tickets, some of them concurrently with the same number. */
    TICKET,
    /** A VM is stopped gracefully and restarted. */
    STOP;

    private static final List<Fault> ALL = List.of(values());

    static List<Fault> all() {
        return ALL;
    }

    /** Returns the changes that operators plan, without failures. */
    static Set<Fault> planned() {
        return EnumSet.of(TICKET, STOP);
    }
}
