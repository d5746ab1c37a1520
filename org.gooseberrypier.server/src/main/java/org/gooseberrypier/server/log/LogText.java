package org.gooseberrypier.server.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Quotes values in log lines of {@code key=value} pairs. */
public final class LogText {

    private LogText() {}

    /**
     * Quotes and escapes a value, so that it can contain neither a line break nor the start of another pair.
     *
     * @param value the value
     * @return the value in double quotes, escaped as in JSON
     */
    public static String quote(Object value) {
        return '"' + new String(JsonStringEncoder.getInstance().quoteAsString(String.valueOf(value))) + '"';
    }
}
