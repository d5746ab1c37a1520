package org.gooseberrypier.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Holds the reads that wait for the next record of their stream; called only on threads of the server. */
final class WaitingReads {

    private static final int MAX_WAITING = 10_000;

    private final Map<String, List<Runnable>> waiting = new HashMap<>();
    private int count;

    /** Adds a read; returns false if the maximum number of reads is waiting. */
    synchronized boolean add(String stream, Runnable answer) {
        if (count >= MAX_WAITING) {
            return false;
        }
        count++;
        waiting.computeIfAbsent(stream, s -> new ArrayList<>()).add(answer);
        return true;
    }

    /** Removes a read; returns whether it was still waiting. */
    synchronized boolean remove(String stream, Runnable answer) {
        List<Runnable> list = waiting.getOrDefault(stream, new ArrayList<>());
        Iterator<Runnable> i = list.iterator();
        while (i.hasNext()) {
            if (i.next() == answer) {
                i.remove();
                count--;
                return true;
            }
        }
        return false;
    }

    /** Removes and answers all reads of a stream. */
    void answerAll(String stream) {
        List<Runnable> removed;
        synchronized (this) {
            removed = waiting.remove(stream);
            count -= removed == null ? 0 : removed.size();
        }
        if (removed != null) {
            removed.forEach(Runnable::run);
        }
    }
}
