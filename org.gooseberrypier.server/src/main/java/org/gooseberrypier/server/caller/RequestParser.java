package org.gooseberrypier.server.caller;

import java.util.List;

import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.WorkId;

/** Parses {@code POST /v1/requests/{work}}: a job with one task whose body is the body of the request. */
final class RequestParser {

    private static final String TASK_ID = "0";

    private RequestParser() {}

    static Submission parse(HttpCall call, String work, long nowMs) throws RequestException {
        if (!RequestRules.NAME.matcher(work).matches()) {
            throw RequestException.field("work", '"' + work + '"', RequestRules.NAME_ALLOWED);
        }
        String team = Headers.name(call, "Team")
                .orElseThrow(() -> RequestException.missing("Team", "a header with the name of the team"));
        String allowed = "milliseconds from 1 to " + RequestRules.MAX_DEADLINE_MS;
        long deadlineMs = Headers.integer(call, "Deadline-Ms", 1, RequestRules.MAX_DEADLINE_MS, allowed)
                .orElseThrow(() -> RequestException.missing("Deadline-Ms", allowed));
        return new Submission(
                new TeamId(team),
                new WorkId(work),
                deadlineMs,
                Headers.flag(call, "Repeatable"),
                KeyParser.ofSubmission(call, nowMs),
                List.of(new TaskSpec(TASK_ID, Payload.wrap(call.body()), 0, Resources.NONE)));
    }
}
