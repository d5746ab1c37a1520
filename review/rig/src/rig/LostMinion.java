package rig;

import java.util.List;

/**
 * Not a case, since no rule covers it: a minion is lost for good while tasks of a job that needn't be kept run on it. Shows
 * whether the job is answered.
 */
final class LostMinion {

    private static final int TASKS = 8;
    private static final long WORK_MS = 1_500;
    private static final long DEADLINE_MS = 45_000;

    private LostMinion() {}

    public static void main(String[] args) throws Exception {
        Rig rig = Rig.open(args[0], 4, 4, 200, "a");
        Thread.sleep(4_000);
        var job = rig.caller.submit(rig.vms.get(1).front, "00000000000000aa", TASKS, WORK_MS, "", DEADLINE_MS);
        Thread.sleep(400);
        for (Minion m : rig.minions) {
            if (rig.trouble && m.load() > 0) {
                m.crash();
                break;
            }
        }
        int status = job.get();
        rig.finish("ANSWER", status == 200 ? List.of() : List.of("no answer within " + DEADLINE_MS + " ms"));
    }
}
