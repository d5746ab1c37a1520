package rig;

/** Case of TWICE: minions crash and start again under their ids while jobs come. */
final class TwiceAfterReboot {

    private static final long TRAFFIC_MS = 95_000;
    private static final long DOWN_MS = 1_000;
    private static final long PAUSE_MS = 1_200;

    /** "Responses on different channels may overtake each other": an answer to a hold takes this much longer than others. */
    private static final long HOLD_ANSWER_DELAY_MS = 20;

    private TwiceAfterReboot() {}

    public static void main(String[] args) throws Exception {
        Rig rig = Rig.open(args[0], 6, 8, 1_400, "a");
        rig.minions.forEach(m -> m.setHoldAnswerDelayMs(HOLD_ANSWER_DELAY_MS));
        long endMs = Trace.nowMs() + TRAFFIC_MS;
        Traffic traffic = new Traffic(rig, "", 55, TRAFFIC_MS, 5_000);
        Thread.sleep(3_000);
        while (Trace.nowMs() < endMs - 2 * DOWN_MS) {
            Minion m = partlyLoaded(rig);
            if (rig.trouble) {
                m.crash();
                Thread.sleep(DOWN_MS);
                m.boot(m.labels());
            }
            Thread.sleep(PAUSE_MS);
        }
        traffic.await();
        rig.finish("TWICE", rig.concurrentRuns());
    }

    /** Waits for a minion that has work and room, so that tasks may be started on it at any moment. */
    private static Minion partlyLoaded(Rig rig) throws InterruptedException {
        while (true) {
            for (Minion m : rig.minions) {
                if (m.load() >= 2 && m.load() <= 5) {
                    return m;
                }
            }
            Thread.sleep(10);
        }
    }
}
