package org.gooseberrypier.internal.board;

import org.gooseberrypier.lib.Member;

/** A recipient of the answer of a job. */
public sealed interface Waiter {

    /**
     * A caller that is connected to this VM.
     *
     * @param call the number of the call
     */
    record Call(long call) implements Waiter {}

    /**
     * A keyed request of any member, including this one.
     *
     * @param origin the member that the caller is connected to
     * @param request the number of the request at that member
     */
    record Request(Member origin, long request) implements Waiter {}
}
