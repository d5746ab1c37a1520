package org.gooseberrypier.pgm;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the logs of many VMs in one process from hiding the results. */
final class LogVerbosity {

    private LogVerbosity() {}

    /**
     * Sets the level of all logs.
     *
     * @param verbose whether to show information, or else errors alone
     */
    static void apply(boolean verbose) {
        if (LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(verbose ? Level.INFO : Level.ERROR);
        }
    }
}
