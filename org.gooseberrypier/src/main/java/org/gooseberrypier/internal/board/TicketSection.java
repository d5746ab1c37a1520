package org.gooseberrypier.internal.board;

import java.util.ArrayDeque;
import java.util.List;

import org.gooseberrypier.ticket.Configuration;

/** The configuration in force and the verdicts on the latest records of the ticket stream. */
public final class TicketSection {

    /** The maximum number of verdicts in the history. */
    public static final int MAX_HISTORY = 256;

    private final ArrayDeque<TicketHistoryEntry> history = new ArrayDeque<>();
    private Configuration inForce = Configuration.NONE;
    private long throughOffset = -1;
    private boolean synchronised = true;
    private String lastFault = "";

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link Configuration#NONE} before the first ticket
     */
    public Configuration inForce() {
        return inForce;
    }

    /**
     * Sets the configuration in force.
     *
     * @param configuration the configuration
     */
    public void setInForce(Configuration configuration) {
        inForce = configuration;
    }

    /**
     * Returns the offset up to which the verdict of every record is known.
     *
     * @return the offset, -1 before the first record
     */
    public long throughOffset() {
        return throughOffset;
    }

    /**
     * Tells whether verdicts on new records can be determined.
     *
     * @return false after a loss or a rewind of the stream, until a checkpoint or a peer covers the missing records
     */
    public boolean isSynchronised() {
        return synchronised;
    }

    /**
     * Sets the progress in the stream.
     *
     * @param offset the offset up to which every verdict is known
     * @param value whether verdicts on new records can be determined
     */
    public void setProgress(long offset, boolean value) {
        throughOffset = offset;
        synchronised = value;
    }

    /**
     * Returns the last fault of the stream.
     *
     * @return one line, empty if there was none
     */
    public String lastFault() {
        return lastFault;
    }

    /**
     * Sets the last fault of the stream.
     *
     * @param detail one line
     */
    public void setLastFault(String detail) {
        lastFault = detail;
    }

    /**
     * Lists the latest verdicts.
     *
     * @return the verdicts, oldest first
     */
    public List<TicketHistoryEntry> history() {
        return List.copyOf(history);
    }

    /**
     * Adds a verdict and removes the oldest one if there are more than {@link #MAX_HISTORY}.
     *
     * @param entry the verdict
     */
    public void addHistory(TicketHistoryEntry entry) {
        history.add(entry);
        if (history.size() > MAX_HISTORY) {
            history.poll();
        }
    }
}
