package org.gooseberrypier.server.caller;

import java.util.Optional;
import java.util.function.LongFunction;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.gooseberrypier.event.CallerEvent;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.http.HttpHandler;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.Reason;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TeamId;

/** Routes the HTTP requests of callers and refuses malformed requests. */
final class CallerRouter implements HttpHandler {

    private static final String JOBS_PATH = "/v1/jobs";
    private static final String JOB_PREFIX = "/v1/jobs/";
    private static final String REQUEST_PREFIX = "/v1/requests/";
    private static final AnswerFormat JOB_FORMAT = new JobFormat();
    private static final AnswerFormat REQUEST_FORMAT = new RequestFormat();

    private final CallHandler calls;

    CallerRouter(CallHandler calls) {
        this.calls = calls;
    }

    @Override
    public void handle(HttpCall call) {
        try {
            route(call);
        } catch (RequestException e) {
            call.reply(Problems.format(new Answer.NotRun(Reason.MALFORMED, e.getMessage(), 0)));
        }
    }

    private void route(HttpCall call) throws RequestException {
        QueryStringDecoder target = target(call);
        String path = target.path();
        if (path.equals(JOBS_PATH)) {
            if (isMethod(call, "POST")) {
                submit(call, JOB_FORMAT, JobParser.parse(call, System.currentTimeMillis()));
            }
        } else if (path.startsWith(REQUEST_PREFIX)) {
            if (isMethod(call, "POST")) {
                String work = path.substring(REQUEST_PREFIX.length());
                submit(call, REQUEST_FORMAT, RequestParser.parse(call, work, System.currentTimeMillis()));
            }
        } else if (path.startsWith(JOB_PREFIX)) {
            handleJob(call, target);
        } else {
            call.reply(Problems.format(404, "no such resource: " + path));
        }
    }

    private static QueryStringDecoder target(HttpCall call) throws RequestException {
        QueryStringDecoder target = new QueryStringDecoder(call.target());
        try {
            target.path();
            target.parameters();
            return target;
        } catch (IllegalArgumentException e) {
            throw new RequestException("request target: " + e.getMessage());
        }
    }

    private void handleJob(HttpCall call, QueryStringDecoder target) throws RequestException {
        if (call.method().equals("GET")) {
            requestByKey(call, target, CallerEvent.StatusRequested::new);
        } else if (isMethod(call, "DELETE")) {
            requestByKey(call, target, CallerEvent.CancelRequested::new);
        }
    }

    private static boolean isMethod(HttpCall call, String method) {
        if (call.method().equals(method)) {
            return true;
        }
        call.reply(Problems.format(405, "method " + call.method() + " is not allowed here"));
        return false;
    }

    private void submit(HttpCall call, AnswerFormat format, Submission submission) {
        calls.handle(call, format, id -> new CallerEvent.Submitted(id, submission));
    }

    private void requestByKey(HttpCall call, QueryStringDecoder target, KeyEvent event) throws RequestException {
        String value = target.path().substring(JOB_PREFIX.length());
        if (!RequestRules.NAME.matcher(value).matches()) {
            throw RequestException.field("key", '"' + value + '"', RequestRules.NAME_ALLOWED);
        }
        IdempotencyKey key = KeyParser.key(value, call, System.currentTimeMillis());
        TeamId team = team(call, target);
        calls.handle(call, JOB_FORMAT, id -> event.of(id, team, key));
    }

    private static TeamId team(HttpCall call, QueryStringDecoder target) throws RequestException {
        Optional<String> header = Headers.name(call, "Team");
        if (header.isPresent()) {
            return new TeamId(header.get());
        }
        var values = target.parameters().get("team");
        if (values == null || values.size() != 1) {
            throw RequestException.missing("Team", "the name of the team, as a header or as one query parameter team");
        }
        if (!RequestRules.NAME.matcher(values.get(0)).matches()) {
            throw RequestException.field("team", '"' + values.get(0) + '"', RequestRules.NAME_ALLOWED);
        }
        return new TeamId(values.get(0));
    }

    /** Handles well-formed calls. */
    interface CallHandler {

        /**
         * Handles a call.
         *
         * @param call the call
         * @param format the format of a complete answer
         * @param event creates the event from the number of the call
         */
        void handle(HttpCall call, AnswerFormat format, LongFunction<Event> event);
    }

    /** Creates an event about a keyed job. */
    private interface KeyEvent {

        Event of(long call, TeamId team, IdempotencyKey key);
    }
}
