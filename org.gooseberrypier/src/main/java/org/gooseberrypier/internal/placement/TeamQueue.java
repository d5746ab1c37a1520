package org.gooseberrypier.internal.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.gooseberrypier.internal.board.TeamState;
import org.gooseberrypier.lib.TaskSpec;

/** Queues the jobs of one team that wait for one kind of work, the earliest virtual finish time first. */
final class TeamQueue {

    private static final double MIN_SAMPLE_WEIGHT = 0.02;
    private static final double MIN_DECLARED_RATIO = 0.05;
    private static final double MAX_DECLARED_RATIO = 20;
    private static final int MIN_DECLARED_SAMPLES = 5;

    private final TeamState team;
    private final WorkPool pool;
    private final PriorityQueue<JobTasks> jobs =
            new PriorityQueue<>(Comparator.comparingDouble(JobTasks::virtualFinishMs));
    private double virtualTime;
    private double declaredRatio = 1;
    private long declaredSamples;
    private double meanRunMs;
    private long samples;

    TeamQueue(TeamState team, WorkPool pool) {
        this.team = team;
        this.pool = pool;
    }

    TeamState team() {
        return team;
    }

    WorkPool pool() {
        return pool;
    }

    double virtualTime() {
        return virtualTime;
    }

    void setVirtualTime(double value) {
        virtualTime = value;
    }

    void add(JobTasks job) {
        if (!job.isQueued()) {
            job.setQueued(true);
            jobs.add(job);
        }
    }

    /** Returns the job that is served next; null if none waits. */
    JobTasks peek() {
        JobTasks head = jobs.peek();
        while (head != null && (head.waiting() == 0 || head.isWithdrawn())) {
            jobs.poll().setQueued(false);
            head = jobs.peek();
        }
        return head;
    }

    /** Returns the expected run time of a task on an endpoint of average speed, in milliseconds. */
    double expectedRunMs(TaskSpec spec) {
        if (spec.declaredMs() > 0 && declaredSamples >= MIN_DECLARED_SAMPLES) {
            return spec.declaredMs() * declaredRatio;
        }
        if (samples > 0) {
            return meanRunMs;
        }
        return spec.declaredMs() > 0 && !pool.state().hasSamples()
                ? spec.declaredMs()
                : pool.state().meanRunMs();
    }

    void addSample(TaskSpec spec, double runMs) {
        samples++;
        meanRunMs += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples) * (runMs - meanRunMs);
        if (spec.declaredMs() > 0) {
            declaredSamples++;
            double ratio = Math.min(MAX_DECLARED_RATIO, Math.max(MIN_DECLARED_RATIO, runMs / spec.declaredMs()));
            declaredRatio += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / declaredSamples) * (ratio - declaredRatio);
        }
    }
}
