package rig;

import java.util.Random;

/** Clients that hand in jobs of two tasks at random times, at the VMs in turn. */
final class Traffic {

    private static final int TASKS = 2;

    private final Rig rig;
    private final String label;
    private final double jobsPerS;
    private final long deadlineMs;
    private final Thread thread;

    /**
     * Starts the traffic.
     *
     * @param label the label that the tasks need, or an empty text
     */
    Traffic(Rig rig, String label, double jobsPerS, long forMs, long deadlineMs) {
        this.rig = rig;
        this.label = label;
        this.jobsPerS = jobsPerS;
        this.deadlineMs = deadlineMs;
        long untilMs = Trace.nowMs() + forMs;
        thread = new Thread(() -> run(untilMs), "traffic");
        thread.start();
    }

    private void run(long untilMs) {
        Random random = new Random(7);
        for (int n = 0; Trace.nowMs() < untilMs; n++) {
            long workMs = 100 + random.nextInt(200);
            rig.caller.submit(
                    rig.vms.get(n % rig.vms.size()).front,
                    String.format("%016x", 0xa0000 + n),
                    TASKS,
                    workMs,
                    label,
                    deadlineMs);
            Http.sleepMicros((long) (-Math.log(1 - random.nextDouble()) / jobsPerS * 1_000_000));
        }
    }

    /** Waits until the last job was handed in and the deadline of its client has passed. */
    void await() throws InterruptedException {
        thread.join();
        Thread.sleep(deadlineMs + 500);
    }
}
