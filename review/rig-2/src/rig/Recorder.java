package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, one line an event, with the milliseconds since the start of the case. */
final class Recorder implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void write(String line) {
        out.println(nowMs() + " " + line);
    }

    /** Writes a line to the record and to the console. */
    void say(String line) {
        write(line);
        System.out.println(nowMs() + " " + line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
