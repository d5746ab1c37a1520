package org.gooseberrypier.load.reference;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.gooseberrypier.load.workload.JobPlan;
import org.gooseberrypier.load.workload.TaskPlan;

/**
 * Serves arrivals from one first-come first-served queue that knows every slot at no cost.
 *
 * <p>Each task takes the fastest free slot, or else the first slot to become free. Nothing is ever sent anywhere, so
 * this is the limit that a dispatcher without knowledge of run times can come near.
 */
public final class ReferenceQueue {

    private final PriorityQueue<Slot> free = new PriorityQueue<>(Comparator.comparingDouble((Slot s) -> -s.speed));
    private final PriorityQueue<Slot> busy = new PriorityQueue<>(Comparator.comparingDouble((Slot s) -> s.freeAtMs));

    /**
     * Creates the queue.
     *
     * @param slotSpeeds the speed of each slot
     */
    public ReferenceQueue(List<Double> slotSpeeds) {
        for (double s : slotSpeeds) {
            free.add(new Slot(s));
        }
    }

    /**
     * Serves jobs.
     *
     * @param jobs the jobs in the order of their arrival
     * @return the response time of each job, in milliseconds
     */
    public List<Double> run(List<JobPlan> jobs) {
        List<Double> responses = new ArrayList<>(jobs.size());
        for (JobPlan j : jobs) {
            double arrivalMs = j.arrivalMs();
            double endMs = arrivalMs;
            for (TaskPlan t : j.tasks()) {
                endMs = Math.max(endMs, serve(arrivalMs, t.serviceMs()));
            }
            responses.add(endMs - arrivalMs);
        }
        return responses;
    }

    private double serve(double arrivalMs, double serviceMs) {
        while (!busy.isEmpty() && busy.peek().freeAtMs <= arrivalMs) {
            free.add(busy.poll());
        }
        Slot slot = free.isEmpty() ? busy.poll() : free.poll();
        slot.freeAtMs = Math.max(arrivalMs, slot.freeAtMs) + serviceMs / slot.speed;
        busy.add(slot);
        return slot.freeAtMs;
    }

    private static final class Slot {
        private final double speed;
        private double freeAtMs;

        Slot(double speed) {
            this.speed = speed;
        }
    }
}
