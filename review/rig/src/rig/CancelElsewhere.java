package rig;

import java.util.List;

/** Case of UNASKED: a job that is under way is cancelled at another VM than the one at which it was handed in. */
final class CancelElsewhere {

    private static final String JOB = "00000000000000aa";
    private static final int TASKS = 160;
    private static final long WORK_MS = 1_000;
    private static final long DEADLINE_MS = 60_000;

    /** {@code cancel_ms}. */
    private static final long CANCEL_MS = 3_000;

    /** {@code ack_ms}, counted too, so that it doesn't matter what counts as the confirmation of the cancel. */
    private static final long ACK_MS = 4_000;

    private CancelElsewhere() {}

    public static void main(String[] args) throws Exception {
        Rig rig = Rig.open(args[0], 2, 4, 200, "a");
        Thread.sleep(4_000);
        var job = rig.caller.submit(rig.vms.get(1).front, JOB, TASKS, WORK_MS, "", DEADLINE_MS);
        Thread.sleep(1_500);
        Rig.Vm other = rig.vms.get(rig.trouble ? 2 : 1);
        long sentAtMs = Trace.nowMs();
        int status = rig.caller.cancel(other.front, JOB, ACK_MS).get();
        if (status != 200 && status != 410) {
            rig.cannotRun("the cancel was answered with " + status);
        }
        job.get();
        List<String> breaks = rig.runs().stream()
                .filter(r -> r.startedAtMs > sentAtMs + ACK_MS + CANCEL_MS)
                .map(r -> "cancelled at " + sentAtMs + " with answer " + status + ", started " + r)
                .toList();
        rig.finish("UNASKED", breaks);
    }
}
