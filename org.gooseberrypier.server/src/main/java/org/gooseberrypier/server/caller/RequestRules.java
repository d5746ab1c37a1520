package org.gooseberrypier.server.caller;

import java.util.regex.Pattern;

/** Allowed values of the fields of a request. */
final class RequestRules {

    /** Longer values are truncated in error messages. */
    static final int MAX_QUOTED_VALUE_CHARS = 80;

    /** Names and keys are written into headers and log lines, so they must be visible ASCII without spaces. */
    static final Pattern NAME = Pattern.compile("[!-~]{1,128}");

    static final String NAME_ALLOWED = "1 to 128 visible ASCII characters without spaces";

    static final long MAX_DEADLINE_MS = 600_000;
    static final long MAX_DECLARED_MS = 3_600_000;
    static final int MAX_CORES = 1_024;
    static final int MAX_MEMORY_MB = 16 << 20;
    static final int MAX_ACCELERATORS = 1_024;
    static final int MAX_TASKS = 10_000;

    /** How far the clock of a caller may be ahead of the clock of this VM, in milliseconds. */
    static final long MAX_CLOCK_SKEW_MS = 60_000;

    private RequestRules() {}
}
