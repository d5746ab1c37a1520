package org.gooseberrypier.lib;

/** The result of one attempt to run a task on an endpoint. */
public sealed interface TaskReply {

    /**
     * The endpoint ran the task successfully.
     *
     * @param body the result
     */
    record Succeeded(Payload body) implements TaskReply {}

    /**
     * The endpoint ran the task, and the task failed.
     *
     * @param status the HTTP status
     * @param detail a one-line description
     */
    record Failed(int status, String detail) implements TaskReply {}

    /**
     * The task provably did not start: no request was written, or the endpoint reported that it did not start.
     *
     * @param detail a one-line description
     */
    record NotStarted(String detail) implements TaskReply {}

    /**
     * The task may have started, and no reply will arrive.
     *
     * @param detail a one-line description
     */
    record Lost(String detail) implements TaskReply {}
}
