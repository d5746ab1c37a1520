package org.gooseberrypier.internal.board;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberrypier.lib.WorkId;

/** The totals of the tasks that wait for an endpoint. */
public final class QueueSection {

    private final Map<WorkId, WorkState> works = new LinkedHashMap<>();
    private int tasks;
    private long bytes;
    private int vmCount = 1;

    /**
     * Returns the kinds of work that endpoints serve or that waiting tasks require.
     *
     * @return the states of the kinds of work; only the controller that owns the section may change the map
     */
    public Map<WorkId, WorkState> works() {
        return works;
    }

    /**
     * Returns how many tasks wait, including those that wait for a retry.
     *
     * @return the number of tasks
     */
    public int tasks() {
        return tasks;
    }

    /**
     * Returns the total size of the bodies of the waiting tasks.
     *
     * @return the size in bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Changes the totals of the waiting tasks.
     *
     * @param taskDelta the change of the number of tasks
     * @param byteDelta the change of the size of their bodies, in bytes
     */
    public void addWaiting(int taskDelta, long byteDelta) {
        tasks += taskDelta;
        bytes += byteDelta;
    }

    /**
     * Returns how many VMs share the endpoints, including this one.
     *
     * @return the number of known VMs, at least 1
     */
    public int vmCount() {
        return vmCount;
    }

    /**
     * Sets how many VMs share the endpoints.
     *
     * @param value the number of VMs
     */
    public void setVmCount(int value) {
        vmCount = value;
    }
}
