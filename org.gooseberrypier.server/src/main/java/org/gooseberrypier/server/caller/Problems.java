package org.gooseberrypier.server.caller;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Reason;

/** Formats answers that are not complete as RFC 9457 problem details. */
final class Problems {

    private static final String TYPE_PREFIX = "urn:gooseberrypier:";
    private static final int MS_PER_S = 1_000;

    private Problems() {}

    static HttpReply format(Answer answer) {
        if (answer instanceof Answer.Failed f) {
            return problem(new Problem(status(f.reason(), 502), "failed", f.reason(), f.detail(), 0));
        }
        if (answer instanceof Answer.Unknown u) {
            return problem(new Problem(504, "unknown", u.reason(), u.detail(), 0));
        }
        if (answer instanceof Answer.NotRun n) {
            return problem(new Problem(status(n.reason(), 503), "not-run", n.reason(), n.detail(), n.retryAfterMs()));
        }
        throw new IllegalArgumentException("not a problem: " + answer);
    }

    /** Formats an error of the HTTP listener, for a request that did not reach the core. */
    static HttpReply format(int status, String detail) {
        Reason reason =
                switch (status) {
                    case 413, 414, 431 -> Reason.TOO_LARGE;
                    case 503 -> Reason.OVERLOADED;
                    default -> Reason.MALFORMED;
                };
        return problem(new Problem(status, "not-run", reason, detail, status == 503 ? MS_PER_S : 0));
    }

    static ObjectNode json(Answer answer) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("outcome", outcome(answer))
                .put("reason", word(reason(answer)))
                .put("detail", detail(answer));
    }

    private static HttpReply problem(Problem p) {
        Next next = Next.of(p);
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("type", TYPE_PREFIX + word(p.reason()));
        json.put("title", title(p.reason()));
        json.put("status", p.status());
        json.put("detail", p.detail());
        json.put("outcome", p.outcome());
        json.put("reason", word(p.reason()));
        json.put("next", next.word());
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", "application/problem+json");
        headers.put("outcome", p.outcome());
        if (p.status() == 503 || p.status() == 429) {
            long seconds = Math.max(1, (p.retryAfterMs() + MS_PER_S - 1) / MS_PER_S);
            json.put("retryAfterMs", Math.max(1, p.retryAfterMs()));
            headers.put("retry-after", Long.toString(seconds));
        }
        return new HttpReply(p.status(), headers, Payload.of(json.toString()).bytes());
    }

    private static int status(Reason reason, int other) {
        return switch (reason) {
            case MALFORMED -> 400;
            case KEY_REUSED, KEY_EXPIRED -> 409;
            case TOO_LARGE -> 413;
            case CAN_NEVER_RUN -> 422;
            case OVER_QUOTA -> 429;
            default -> other;
        };
    }

    private static String outcome(Answer answer) {
        return answer instanceof Answer.Failed ? "failed" : answer instanceof Answer.NotRun ? "not-run" : "unknown";
    }

    private static Reason reason(Answer answer) {
        if (answer instanceof Answer.Failed f) {
            return f.reason();
        }
        return answer instanceof Answer.NotRun n ? n.reason() : ((Answer.Unknown) answer).reason();
    }

    private static String detail(Answer answer) {
        if (answer instanceof Answer.Failed f) {
            return f.detail();
        }
        return answer instanceof Answer.NotRun n ? n.detail() : ((Answer.Unknown) answer).detail();
    }

    private static String word(Reason reason) {
        return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String title(Reason reason) {
        String words = reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return Character.toUpperCase(words.charAt(0)) + words.substring(1);
    }

    /**
     * The members of a problem.
     *
     * @param status the HTTP status
     * @param outcome {@code failed}, {@code not-run} or {@code unknown}
     * @param reason the reason
     * @param detail a description for people, one line
     * @param retryAfterMs how long the caller should wait before it submits again, in milliseconds
     */
    record Problem(int status, String outcome, Reason reason, String detail, long retryAfterMs) {}

    /** What the caller may do next. */
    enum Next {
        /** The request must be corrected before it is sent again. */
        CORRECT_REQUEST,
        /** The job can be submitted again with a new key, after the stated time. */
        SUBMIT_ANEW_LATER,
        /** The job ran and may have had effects; the caller decides whether to submit it again. */
        DECIDE,
        /** The caller can send the same submission with the same key again; a new key could run the job twice. */
        ASK_AGAIN;

        static Next of(Problem p) {
            if (p.outcome().equals("unknown")) {
                return ASK_AGAIN;
            }
            if (p.status() == 429 || p.status() == 503) {
                return SUBMIT_ANEW_LATER;
            }
            return p.status() == 502 ? DECIDE : CORRECT_REQUEST;
        }

        String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
