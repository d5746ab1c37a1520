package org.gooseberrypier.standin.platform;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** The platform's list of VMs, which shows each change only after a lag. */
public final class VmList {

    private static final int MAX_CHANGES = 100_000;

    /** What the list says of a VM. */
    public enum State {
        /** The VM runs. */
        LIVE,
        /** The VM runs and is to leave. */
        LEAVING,
        /** The VM is not listed. */
        REMOVED
    }

    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final SortedMap<String, State> shown = new TreeMap<>();

    /**
     * Changes the state of a VM.
     *
     * @param vm the name of the VM
     * @param state its state
     * @param nowMs the time of the change, in milliseconds since the epoch
     */
    public synchronized void set(String vm, State state, long nowMs) {
        if (changes.size() >= MAX_CHANGES) {
            show(changes.poll());
        }
        changes.add(new Change(vm, state, nowMs));
    }

    /**
     * Returns the list as it was at a time that lies in the past.
     *
     * @param atMs the time in milliseconds since the epoch
     * @return the states by the names of the VMs
     */
    public synchronized Map<String, State> at(long atMs) {
        Iterator<Change> i = changes.iterator();
        while (i.hasNext()) {
            Change c = i.next();
            if (c.atMs() > atMs) {
                break;
            }
            show(c);
            i.remove();
        }
        return new TreeMap<>(shown);
    }

    private void show(Change change) {
        if (change.state() == State.REMOVED) {
            shown.remove(change.vm());
        } else {
            shown.put(change.vm(), change.state());
        }
    }

    private record Change(String vm, State state, long atMs) {}
}
