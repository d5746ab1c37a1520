package org.gooseberrypier.internal.board;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.ticket.EndpointSpec;

/** The state of one endpoint as seen by this VM. */
public final class EndpointState {

    private final EndpointCredits credits = new EndpointCredits();
    private final List<EndpointWork> works = new ArrayList<>();
    private EndpointSpec spec;
    private boolean removed;
    private int outstanding;
    private int usedSlots;
    private EndpointHealth health = EndpointHealth.HEALTHY;
    private int consecutiveFailures;
    private long backoffMs;
    private long lastReplyAtMs;
    private boolean probing;

    /**
     * Creates the state of an endpoint to which no task has been sent.
     *
     * @param spec the specification in the ticket
     */
    public EndpointState(EndpointSpec spec) {
        setSpec(spec);
    }

    /**
     * Returns the specification of the endpoint in the ticket.
     *
     * @return the specification
     */
    public EndpointSpec spec() {
        return spec;
    }

    /**
     * Replaces the specification, and adds and removes kinds of work accordingly.
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

    /** Marks the endpoint as absent from the ticket in force. */
    public void setRemoved() {
        removed = true;
    }

    /**
     * Tells whether the endpoint may get new tasks.
     *
     * @return false if it is leaving or removed
     */
    public boolean isServing() {
        return !removed && !spec.leaving();
    }

    /**
     * Tells whether the endpoint is absent from the ticket in force.
     *
     * @return whether it is kept only for the tasks that it still runs
     */
    public boolean isRemoved() {
        return removed;
    }

    /**
     * Returns the kinds of work that the endpoint serves.
     *
     * @return one entry for each kind; only the controller that owns the section may change the list
     */
    public List<EndpointWork> works() {
        return works;
    }

    /**
     * Returns the credits for the slots of the endpoint.
     *
     * @return the credits
     */
    public EndpointCredits credits() {
        return credits;
    }

    /**
     * Returns how many tasks this VM has sent to the endpoint that have not ended.
     *
     * @return the number of tasks
     */
    public int outstanding() {
        return outstanding;
    }

    /**
     * Returns how many slots the outstanding tasks of this VM occupy.
     *
     * @return the number of slots
     */
    public int usedSlots() {
        return usedSlots;
    }

    /**
     * Adds a started task to the outstanding tasks.
     *
     * @param slots how many slots the task occupies
     */
    public void addTask(int slots) {
        outstanding++;
        usedSlots += slots;
    }

    /**
     * Removes an ended task from the outstanding tasks.
     *
     * @param slots how many slots the task occupied
     */
    public void removeTask(int slots) {
        outstanding--;
        usedSlots -= slots;
    }

    /**
     * Returns the health of the endpoint.
     *
     * @return the health
     */
    public EndpointHealth health() {
        return health;
    }

    /**
     * Sets the health of the endpoint.
     *
     * @param value the health
     */
    public void setHealth(EndpointHealth value) {
        health = value;
    }

    /**
     * Returns how many consecutive replies were failures, losses or refusals.
     *
     * @return the number of replies since the last success
     */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /**
     * Sets how many consecutive replies were failures, losses or refusals.
     *
     * @param value the number of replies
     */
    public void setConsecutiveFailures(int value) {
        consecutiveFailures = value;
    }

    /**
     * Returns the backoff of the last quarantine.
     *
     * @return milliseconds, 0 if there was none since the last success
     */
    public long backoffMs() {
        return backoffMs;
    }

    /**
     * Sets the backoff of the last quarantine.
     *
     * @param value milliseconds
     */
    public void setBackoffMs(long value) {
        backoffMs = value;
    }

    /**
     * Returns the time of the last reply of the endpoint.
     *
     * @return milliseconds since the epoch
     */
    public long lastReplyAtMs() {
        return lastReplyAtMs;
    }

    /**
     * Sets the time of the last reply of the endpoint.
     *
     * @param value milliseconds since the epoch
     */
    public void setLastReplyAtMs(long value) {
        lastReplyAtMs = value;
    }

    /**
     * Tells whether a health probe is in progress.
     *
     * @return whether the result of a probe is awaited
     */
    public boolean isProbing() {
        return probing;
    }

    /**
     * Sets whether a health probe is in progress.
     *
     * @param value whether the result of a probe is awaited
     */
    public void setProbing(boolean value) {
        probing = value;
    }
}
