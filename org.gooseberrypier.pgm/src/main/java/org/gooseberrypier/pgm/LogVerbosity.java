package org.gooseberrypier.pgm;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Sets the log level, so that the logs of many VMs in one process do not hide the results. */
final class LogVerbosity {

    private LogVerbosity() {}

    /**
     * Sets the level of the root logger.
     *
     * @param verbose true for INFO, false for ERROR
     */
    static void apply(boolean verbose) {
        if (LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(verbose ? Level.INFO : Level.ERROR);
        }
    }
}
