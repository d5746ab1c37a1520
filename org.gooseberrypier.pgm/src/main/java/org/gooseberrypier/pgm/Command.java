package org.gooseberrypier.pgm;

/** A command of the program. */
public interface Command {

    /**
     * Runs the command with the options that were parsed into its fields.
     *
     * @return the exit code
     */
    int call();
}
