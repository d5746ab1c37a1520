package org.gooseberrypier.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Reads that wait for the next record of a stream; all calls come from the threads of the server. */
final class WaitingReads {

    private static final int MAX_WAITING = 10_000;

    private final Map<String, List<Runnable>> waiting = new HashMap<>();
    private int count;

    /** Adds a read; returns whether there was room for it. */
    synchronized boolean add(String stream, Runnable answer) {
        if (count >= MAX_WAITING) {
            return false;
        }
        count++;
        waiting.computeIfAbsent(stream, s -> new ArrayList<>()).add(answer);
        return true;
    }

    /** Takes a read away; returns whether it was still waiting. */
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

    /** Takes and answers all reads of a stream. */
    void answerAll(String stream) {
        List<Runnable> woken;
        synchronized (this) {
            woken = waiting.remove(stream);
            count -= woken == null ? 0 : woken.size();
        }
        if (woken != null) {
            woken.forEach(Runnable::run);
        }
    }
}
