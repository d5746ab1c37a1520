package org.gooseberrypier.load.reference;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.gooseberrypier.load.workload.JobPlan;
import org.gooseberrypier.load.workload.TaskPlan;

/**
 * Serves arrivals from one first-come first-served queue that knows the state of every slot at no cost.
 *
 * <p>Each task takes the fastest free slot, or else the first slot that becomes free. No messages are sent, so a
 * dispatcher that does not know run times can approach these response times but not beat them.
 */
public final class ReferenceQueue {

    private final PriorityQueue<Slot> freeSlots = new PriorityQueue<>(Comparator.comparingDouble((Slot s) -> -s.speed));
    private final PriorityQueue<Slot> busySlots =
            new PriorityQueue<>(Comparator.comparingDouble((Slot s) -> s.freeAtMs));

    /**
     * Creates the queue.
     *
     * @param slotSpeeds the speed of each slot
     */
    public ReferenceQueue(List<Double> slotSpeeds) {
        for (double s : slotSpeeds) {
            freeSlots.add(new Slot(s));
        }
    }

    /**
     * Simulates the queue.
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
        while (!busySlots.isEmpty() && busySlots.peek().freeAtMs <= arrivalMs) {
            freeSlots.add(busySlots.poll());
        }
        Slot slot = freeSlots.isEmpty() ? busySlots.poll() : freeSlots.poll();
        slot.freeAtMs = Math.max(arrivalMs, slot.freeAtMs) + serviceMs / slot.speed;
        busySlots.add(slot);
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
