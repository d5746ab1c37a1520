package org.gooseberrypier.load.reference;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.gooseberrypier.load.workload.JobPlan;
import org.gooseberrypier.load.workload.Service;
import org.gooseberrypier.load.workload.TaskPlan;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class ReferenceQueueTest {

    @Test
    public void freeSlotServesWithoutWaiting() {
        assertEquals(run(List.of(1.0), job(0, 100)), List.of(100.0));
    }

    @Test
    public void aJobWaitsForTheJobBeforeIt() {
        assertEquals(run(List.of(1.0), job(0, 100), job(40, 50)), List.of(100.0, 110.0));
    }

    @Test
    public void theFastestFreeSlotServesFirst() {
        assertEquals(run(List.of(0.5, 2.0), job(0, 100), job(10, 100)), List.of(50.0, 200.0));
    }

    @Test
    public void aJobEndsWithItsLastTask() {
        assertEquals(run(List.of(1.0, 1.0), job(0, 10, 20, 30)), List.of(40.0));
    }

    @Test
    public void aSlotIsFreeAgainWhenItsTaskHasEnded() {
        assertEquals(run(List.of(1.0), job(0, 100), job(100, 100)), List.of(100.0, 100.0));
    }

    private static List<Double> run(List<Double> speeds, JobPlan... jobs) {
        return new ReferenceQueue(speeds).run(List.of(jobs));
    }

    private static JobPlan job(long arrivalMs, long... serviceMs) {
        List<TaskPlan> tasks = new ArrayList<>();
        for (long s : serviceMs) {
            tasks.add(new TaskPlan(s, s));
        }
        return new JobPlan(
                "j" + arrivalMs,
                arrivalMs * 1_000,
                Service.CASES,
                "verify-citation",
                tasks,
                1_000,
                false,
                false,
                false,
                OptionalLong.empty());
    }
}
