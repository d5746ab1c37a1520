package org.gooseberrypier.server.caller;

import java.util.regex.Pattern;

/** What the fields of a request may hold. */
final class RequestRules {

    static final int MAX_QUOTED_VALUE_CHARS = 80;

    /** Names and keys go into headers and log lines, so they are visible ASCII without spaces. */
    static final Pattern NAME = Pattern.compile("[!-~]{1,128}");

    static final String NAME_ALLOWED = "1 to 128 visible ASCII characters without spaces";

    static final long MAX_DEADLINE_MS = 600_000;
    static final long MAX_DECLARED_MS = 3_600_000;
    static final int MAX_CORES = 1_024;
    static final int MAX_MEMORY_MB = 16 << 20;
    static final int MAX_ACCELERATORS = 1_024;
    static final int MAX_TASKS = 10_000;

    /** How far a caller's clock may be ahead of ours. */
    static final long MAX_CLOCK_SKEW_MS = 60_000;

    private RequestRules() {}
}
