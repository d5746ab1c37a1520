package org.gooseberrypier.load.run;

import java.io.PrintStream;

/** Shows on a terminal how far a run is; elsewhere it says one line for each run. */
public final class Progress {

    private static final int PERCENT = 100;

    private final PrintStream out;
    private final boolean terminal;
    private int shown = -1;

    /**
     * Creates a display.
     *
     * @param out where to write
     * @param terminal whether lines may be written over
     */
    public Progress(PrintStream out, boolean terminal) {
        this.out = out;
        this.terminal = terminal;
    }

    /**
     * Returns a display that shows nothing.
     *
     * @return the display
     */
    public static Progress none() {
        return new Progress(new PrintStream(java.io.OutputStream.nullOutputStream()), false);
    }

    /**
     * Shows one line of its own.
     *
     * @param text the line
     */
    public void printLine(String text) {
        out.println(text);
    }

    /**
     * Shows how much is done.
     *
     * @param what the run
     * @param done how many jobs have ended
     * @param all how many jobs there are
     */
    public synchronized void update(String what, int done, int all) {
        int percent = all == 0 ? PERCENT : (int) ((long) done * PERCENT / all);
        if (!terminal || percent == shown) {
            return;
        }
        shown = percent;
        out.print("\r" + what + " " + percent + "% " + (percent == PERCENT ? "\n" : ""));
        out.flush();
    }
}
