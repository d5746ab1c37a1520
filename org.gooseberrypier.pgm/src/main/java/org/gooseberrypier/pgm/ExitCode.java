package org.gooseberrypier.pgm;

/** The exit codes of the program. */
final class ExitCode {

    /** The command succeeded. */
    static final int OK = 0;

    /** The command failed, or a checked guarantee did not hold. */
    static final int FAILED = 1;

    /** The command line or a file that it names is invalid; the command did nothing. */
    static final int USAGE = 2;

    private ExitCode() {}
}
