package org.gooseberrypier.standin.platform;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** The list of VMs of the stand-in platform, which can be read as it was at an earlier time to simulate a lag. */
public final class VmList {

    private static final int MAX_CHANGES = 100_000;

    /** State of a VM in the list. */
    public enum State {
        /** The VM is listed as running. */
        LIVE,
        /** The VM is listed as running and about to be removed. */
        LEAVING,
        /** The VM is not listed. */
        REMOVED
    }

    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final SortedMap<String, State> listed = new TreeMap<>();

    /**
     * Changes the state of a VM.
     *
     * @param vm the name of the VM
     * @param state the new state
     * @param nowMs the time of the change, in milliseconds since the epoch
     */
    public synchronized void set(String vm, State state, long nowMs) {
        if (changes.size() >= MAX_CHANGES) {
            apply(changes.poll());
        }
        changes.add(new Change(vm, state, nowMs));
    }

    /**
     * Returns the list as it was at a time. Applied changes are not kept: a later call with an earlier time returns the
     * list of the latest time asked for.
     *
     * @param atMs the time in milliseconds since the epoch
     * @return the states of the listed VMs by name
     */
    public synchronized Map<String, State> at(long atMs) {
        Iterator<Change> i = changes.iterator();
        while (i.hasNext()) {
            Change c = i.next();
            if (c.atMs() > atMs) {
                break;
            }
            apply(c);
            i.remove();
        }
        return new TreeMap<>(listed);
    }

    private void apply(Change change) {
        if (change.state() == State.REMOVED) {
            listed.remove(change.vm());
        } else {
            listed.put(change.vm(), change.state());
        }
    }

    private record Change(String vm, State state, long atMs) {}
}
