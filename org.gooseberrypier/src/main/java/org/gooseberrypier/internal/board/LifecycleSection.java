package org.gooseberrypier.internal.board;

/** Whether this VM is stopping and therefore accepts no new work. */
public final class LifecycleSection {

    private boolean stopping;

    /**
     * Tells whether the graceful stop has begun.
     *
     * @return whether new work is refused
     */
    public boolean isStopping() {
        return stopping;
    }

    /** Marks the graceful stop as begun. */
    public void setStopping() {
        stopping = true;
    }
}
