package org.gooseberrypier.server.caller;

/** Thrown if a request is malformed; the message names the field, its value and the allowed values. */
final class RequestException extends Exception {

    private static final long serialVersionUID = 1L;

    RequestException(String message) {
        super(message);
    }

    static RequestException field(String field, Object value, String allowed) {
        return new RequestException(
                field + ": " + shorten(String.valueOf(value)) + " is not allowed; allowed: " + allowed);
    }

    static RequestException missing(String field, String allowed) {
        return new RequestException(field + ": missing; allowed: " + allowed);
    }

    private static String shorten(String value) {
        return value.length() <= RequestRules.MAX_QUOTED_VALUE_CHARS
                ? value
                : value.substring(0, RequestRules.MAX_QUOTED_VALUE_CHARS) + "...";
    }
}
