package org.gooseberrypier.server.endpoint;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.NotSentException;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.TaskReply;

/** Converts the HTTP replies of endpoints, and the errors of requests, into task replies. */
final class TaskReplies {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_DETAIL_CHARS = 200;

    private TaskReplies() {}

    static TaskReply read(Effect.StartTask task, HttpReply reply) {
        if (!isOf(task, reply)) {
            return new TaskReply.Lost("the endpoint answered for another task");
        }
        if (reply.status() == OK) {
            return new TaskReply.Succeeded(Payload.wrap(reply.body()));
        }
        boolean notRun = reply.header("Outcome").filter("not-run"::equals).isPresent();
        if (reply.status() == UNAVAILABLE && notRun) {
            return new TaskReply.NotStarted("the endpoint refused the task");
        }
        return new TaskReply.Failed(reply.status(), oneLine(reply.text()));
    }

    static TaskReply read(Throwable error) {
        return error instanceof NotSentException
                ? new TaskReply.NotStarted(error.getMessage())
                : new TaskReply.Lost(error.getMessage());
    }

    /**
     * Returns whether a reply belongs to a task; a reply without the headers does, one that names another task does
     * not.
     */
    private static boolean isOf(Effect.StartTask task, HttpReply reply) {
        return reply.header(TaskRequests.TASK_ID)
                        .filter(id -> !id.equals(task.spec().id()))
                        .isEmpty()
                && reply.header(TaskRequests.JOB_ID)
                        .filter(id -> !id.equals(task.task().job().value()))
                        .isEmpty();
    }

    private static String oneLine(String text) {
        String line = text.strip().replaceAll("\\s+", " ");
        return line.length() <= MAX_DETAIL_CHARS ? line : line.substring(0, MAX_DETAIL_CHARS) + "...";
    }
}
