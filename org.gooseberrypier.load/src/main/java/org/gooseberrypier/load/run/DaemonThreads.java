package org.gooseberrypier.load.run;

import java.util.concurrent.ThreadFactory;

/** Creates daemon threads, which do not prevent the process from exiting. */
final class DaemonThreads {

    private DaemonThreads() {}

    static ThreadFactory named(String name) {
        return r -> {
            Thread thread = new Thread(r, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
