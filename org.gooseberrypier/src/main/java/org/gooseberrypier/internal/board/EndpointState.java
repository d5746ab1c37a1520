package org.gooseberrypier.internal.board;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.ticket.EndpointSpec;

/** What this VM knows of one endpoint. */
public final class EndpointState {

    private final EndpointCredits credits = new EndpointCredits();
    private final List<EndpointWork> works = new ArrayList<>();
    private EndpointSpec spec;
    private boolean removed;
    private int outstanding;
    private int usedSlots;
    private EndpointHealth health = EndpointHealth.HEALTHY;
    private int badReplies;
    private long backOffMs;
    private long lastReplyAtMs;
    private boolean probing;

    /**
     * Creates the state of an endpoint that nothing was sent to.
     *
     * @param spec what the ticket says of it
     */
    public EndpointState(EndpointSpec spec) {
        setSpec(spec);
    }

    /**
     * Returns what the ticket says of it.
     *
     * @return the specification
     */
    public EndpointSpec spec() {
        return spec;
    }

    /**
     * Replaces what the ticket says of it.
     *
     * @param value the specification
     */
    public void setSpec(EndpointSpec value) {
        spec = value;
        removed = false;
        works.removeIf(w -> !value.works().contains(w.work()));
        for (WorkId w : value.works()) {
            if (works.stream().noneMatch(e -> e.work().equals(w))) {
                works.add(new EndpointWork(this, w));
            }
        }
    }

    /** Notes that the ticket in force does not name it any more. */
    public void setRemoved() {
        removed = true;
    }

    /**
     * Tells whether it may get new work at all.
     *
     * @return false once it is leaving or removed
     */
    public boolean isServing() {
        return !removed && !spec.leaving();
    }

    /**
     * Tells whether the ticket in force does not name it any more.
     *
     * @return whether it is kept only for the tasks that it still runs
     */
    public boolean isRemoved() {
        return removed;
    }

    /**
     * Returns the kinds of work that it serves.
     *
     * @return one entry for each kind, to be changed by the owner of the section only
     */
    public List<EndpointWork> works() {
        return works;
    }

    /**
     * Returns the credits of its slots.
     *
     * @return the credits
     */
    public EndpointCredits credits() {
        return credits;
    }

    /**
     * Returns how many tasks this VM has sent whose end has not come back.
     *
     * @return the number of tasks
     */
    public int outstanding() {
        return outstanding;
    }

    /**
     * Returns how many slots the outstanding tasks of this VM take.
     *
     * @return the number of slots
     */
    public int usedSlots() {
        return usedSlots;
    }

    /**
     * Notes the start of a task.
     *
     * @param slots how many slots it takes
     */
    public void addTask(int slots) {
        outstanding++;
        usedSlots += slots;
    }

    /**
     * Notes the end of a task.
     *
     * @param slots how many slots it took
     */
    public void removeTask(int slots) {
        outstanding--;
        usedSlots -= slots;
    }

    /**
     * Returns whether it is trusted with work.
     *
     * @return the health
     */
    public EndpointHealth health() {
        return health;
    }

    /**
     * Sets whether it is trusted with work.
     *
     * @param value the health
     */
    public void setHealth(EndpointHealth value) {
        health = value;
    }

    /**
     * Returns how many replies in a row were failures, losses or refusals.
     *
     * @return the number of replies since the last success
     */
    public int consecutiveFailures() {
        return badReplies;
    }

    /**
     * Sets how many replies in a row were bad.
     *
     * @param value the number of replies
     */
    public void setConsecutiveFailures(int value) {
        badReplies = value;
    }

    /**
     * Returns how long the last quarantine lasted.
     *
     * @return milliseconds, 0 if there was none since the last success
     */
    public long backoffMs() {
        return backOffMs;
    }

    /**
     * Sets how long the last quarantine lasted.
     *
     * @param value milliseconds
     */
    public void setBackoffMs(long value) {
        backOffMs = value;
    }

    /**
     * Returns when it last answered.
     *
     * @return milliseconds since the epoch
     */
    public long lastReplyAtMs() {
        return lastReplyAtMs;
    }

    /**
     * Sets when it last answered.
     *
     * @param value milliseconds since the epoch
     */
    public void setLastReplyAtMs(long value) {
        lastReplyAtMs = value;
    }

    /**
     * Tells whether a probe is on its way.
     *
     * @return whether its result is awaited
     */
    public boolean isProbing() {
        return probing;
    }

    /**
     * Sets whether a probe is on its way.
     *
     * @param value whether its result is awaited
     */
    public void setProbing(boolean value) {
        probing = value;
    }
}
