package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the milliseconds since its start. */
final class Trace {

    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter out;

    private Trace() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static long nowMs() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static synchronized void log(String format, Object... args) {
        if (out != null) {
            out.printf("%7d %s%n", nowMs(), String.format(format, args));
            out.flush();
        }
    }

    static synchronized void close() {
        if (out != null) {
            out.close();
            out = null;
        }
    }
}
