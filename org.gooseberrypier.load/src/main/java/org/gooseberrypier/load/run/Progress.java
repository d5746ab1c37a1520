package org.gooseberrypier.load.run;

import java.io.PrintStream;

/** Displays the progress of a run on a terminal; if the output is no terminal, only whole lines are printed. */
public final class Progress {

    private static final int PERCENT = 100;

    private final PrintStream out;
    private final boolean terminal;
    private int shownPercent = -1;

    /**
     * Creates a display.
     *
     * @param out the stream to write to
     * @param terminal whether the stream is a terminal, on which a line can be overwritten
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
     * Prints a line.
     *
     * @param text the line
     */
    public void printLine(String text) {
        out.println(text);
    }

    /**
     * Updates the percentage of ended jobs on a terminal; does nothing elsewhere.
     *
     * @param what the name of the run
     * @param done the number of jobs that have ended
     * @param all the number of all jobs
     */
    public synchronized void update(String what, int done, int all) {
        int percent = all == 0 ? PERCENT : (int) ((long) done * PERCENT / all);
        if (!terminal || percent == shownPercent) {
            return;
        }
        shownPercent = percent;
        out.print("\r" + what + " " + percent + "% " + (percent == PERCENT ? "\n" : ""));
        out.flush();
    }
}
