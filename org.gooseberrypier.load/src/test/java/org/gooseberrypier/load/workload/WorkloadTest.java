package org.gooseberrypier.load.workload;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class WorkloadTest {

    private static final double CAPACITY = 240;

    @Test
    public void theSameSeedGivesTheSameArrivals() {
        WorkloadShape shape = WorkloadShape.builder(0.8).keyedShare(0.3).build();
        assertEquals(Workload.create(shape, CAPACITY, 20, 7), Workload.create(shape, CAPACITY, 20, 7));
        assertNotEquals(Workload.create(shape, CAPACITY, 20, 7), Workload.create(shape, CAPACITY, 20, 8));
    }

    @Test
    public void arrivingWorkMatchesTheConfiguredLoad() {
        WorkloadShape shape = WorkloadShape.builder(0.8).largeJob(false).build();
        double workMs = work(Workload.create(shape, CAPACITY, 600, 1));
        assertEquals(workMs / 1_000 / 600 / CAPACITY, 0.8, 0.02);
    }

    @Test
    public void aBurstBringsItsLoadInTheMiddleFifth() {
        WorkloadShape shape =
                WorkloadShape.builder(0.5).burst(3).largeJob(false).build();
        List<JobPlan> jobs = Workload.create(shape, CAPACITY, 500, 1);
        double workMs = work(jobs.stream()
                .filter(j -> j.arrivalMs() >= 200_000 && j.arrivalMs() < 300_000)
                .toList());
        assertEquals(workMs / 1_000 / 100 / CAPACITY, 3, 0.15);
    }

    @Test
    public void oneJobIsOfTheLargestSize() {
        List<JobPlan> jobs = Workload.create(WorkloadShape.builder(0.5).build(), CAPACITY, 20, 1);
        assertEquals(jobs.stream().filter(j -> j.tasks().size() == 490).count(), 1);
        assertTrue(jobs.stream().allMatch(j -> !j.tasks().isEmpty() && j.tasks().size() <= 490));
    }

    @Test
    public void cancelledAndDuplicatedJobsHaveKeys() {
        WorkloadShape shape = WorkloadShape.builder(0.5)
                .cancelledShare(0.2)
                .duplicatedShare(0.2)
                .build();
        for (JobPlan j : Workload.create(shape, CAPACITY, 20, 1)) {
            assertTrue(j.keyed() || !j.duplicated() && j.cancelAfterMs().isEmpty());
        }
    }

    @Test
    public void theIdealOfAJobIsItsLongestTask() {
        for (JobPlan j : Workload.create(WorkloadShape.builder(0.5).build(), CAPACITY, 20, 1)) {
            assertEquals(
                    j.idealMs(),
                    j.tasks().stream().mapToLong(TaskPlan::serviceMs).max().orElse(0));
        }
    }

    private static double work(List<JobPlan> jobs) {
        return jobs.stream()
                .flatMap(j -> j.tasks().stream())
                .mapToLong(TaskPlan::serviceMs)
                .sum();
    }
}
