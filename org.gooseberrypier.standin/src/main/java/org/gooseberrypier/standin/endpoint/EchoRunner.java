package org.gooseberrypier.standin.endpoint;

import java.nio.charset.StandardCharsets;

/** Runs for the number of milliseconds at the start of the body, 50 if there is none, and returns the body. */
public final class EchoRunner implements TaskRunner {

    private static final long DEFAULT_DURATION_MS = 50;

    @Override
    public Run start(String jobId, String taskId, byte[] body) {
        return new Run(durationMs(new String(body, StandardCharsets.UTF_8)), body);
    }

    private static long durationMs(String text) {
        int end = 0;
        while (end < text.length() && end < 6 && Character.isDigit(text.charAt(end))) {
            end++;
        }
        return end == 0 ? DEFAULT_DURATION_MS : Long.parseLong(text.substring(0, end));
    }
}
