package org.gooseberrypier.random;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** What a run does to its VMs, their links, the log and the configuration at random times. */
enum Fault {
    /** A VM dies and is replaced some seconds later. */
    KILL,
    /** Two VMs die together. */
    KILL_TWO,
    /** A VM is paused and goes on unaware. */
    PAUSE,
    /** Messages between two VMs are lost in one or both directions. */
    CUT_LINK,
    /** An availability zone is cut off from the others and from the log. */
    CUT_ZONE,
    /** The log is out of reach of one VM or of all. */
    LOG_OUTAGE,
    /** The log drops its old records. */
    EXPIRE_LOG,
    /** Operators publish tickets, some of them racing. */
    TICKET,
    /** A VM is asked to stop gracefully and replaced. */
    STOP;

    private static final List<Fault> ALL = List.of(values());

    static List<Fault> all() {
        return ALL;
    }

    /** What operators do on purpose, with nothing failing. */
    static Set<Fault> planned() {
        return EnumSet.of(TICKET, STOP);
    }
}
