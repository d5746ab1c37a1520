package org.gooseberrypier.internal.board;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberrypier.lib.WorkId;

/** The sums of the tasks that wait for an endpoint. */
public final class QueueSection {

    private final Map<WorkId, WorkState> works = new LinkedHashMap<>();
    private int tasks;
    private long bytes;
    private int vms = 1;

    /**
     * Returns the kinds of work that endpoints serve or tasks wait for.
     *
     * @return the works, to be changed by the owner of the section only
     */
    public Map<WorkId, WorkState> works() {
        return works;
    }

    /**
     * Returns how many tasks wait, those that wait for a retry included.
     *
     * @return the number of tasks
     */
    public int tasks() {
        return tasks;
    }

    /**
     * Returns how many bytes the bodies of the waiting tasks hold.
     *
     * @return bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Notes that tasks came to wait or wait no more.
     *
     * @param taskDelta the change of their number
     * @param byteDelta the change of their bytes
     */
    public void addWaiting(int taskDelta, long byteDelta) {
        tasks += taskDelta;
        bytes += byteDelta;
    }

    /**
     * Returns how many VMs share the endpoints, this one included.
     *
     * @return the number of VMs heard of, at least 1
     */
    public int vmCount() {
        return vms;
    }

    /**
     * Sets how many VMs share the endpoints.
     *
     * @param value the number of VMs
     */
    public void setVmCount(int value) {
        vms = value;
    }
}
