package rig;

/**
 * The VM that owns the pool is killed, and starts again, while another VM holds more than 1 MiB of jobs. Each job has a
 * {@code spec} of 4,000 bytes.
 */
final class BacklogAtHandover extends Case {

    private static final String NEAR = "tartu-a";
    private static final String FAR = "tartu-b";
    private static final long CPU = 500;
    private static final long WORKS_MS = 1_200;
    private static final long DEADLINE_MS = 1_518;
    private static final double PER_SECOND = 240;
    private static final int LARGE_VMS = 4;
    private static final int SPEC_BYTES = 4_000;
    private static final long DOWN_MS = 1_000;

    /** KILL by default; with TERM, for a planned stop, the machine is back later. */
    private static final String SIGNAL = System.getenv().getOrDefault("SIGNAL", "KILL");
    private static final long RECOVERY_MS = 12_000;

    private BacklogAtHandover() throws Exception {}

    @Override
    boolean play() throws Exception {
        configure(true);
        for (int i = 0; i < 16; i++) {
            String zone = i % 2 == 0 ? NEAR : FAR;
            Minion.Kind k = new Minion.Kind("case-service", zone, "kind-a", "r1-" + i, 16_000, 65_536, true);
            minions.add(new Minion("i-" + newId().substring(8), "127.0.0.1", k, store, record, new Minion.Observer() {}));
        }
        for (int i = 0; i < LARGE_VMS; i++) {
            addVm(NEAR, 2);
        }
        Vm holder = addVm(FAR, 1);
        awaitReady(30_000);
        // A larger VM takes the pool over from a smaller one that claimed it first.
        Thread.sleep(6_000);
        Vm owner = owner();
        if (owner == holder) {
            throw new CannotRun("the smallest VM is the owner");
        }
        record.say("owner=" + owner.name + "; the clients are in the zone of " + holder.name);
        String spec = Specs.of(WORKS_MS, CPU) + " ";
        String whole = spec + "x".repeat(SPEC_BYTES - spec.length());
        Load load = new Load(record);
        long beginMs = record.nowMs();
        long faultMs = beginMs + 10_000;
        long backMs = faultMs + DOWN_MS;
        long endMs = backMs + RECOVERY_MS + 20_000;
        Thread faults = new Thread(() -> strike(owner, faultMs));
        if (trouble) {
            faults.start();
        }
        load.run(endMs, PER_SECOND, () -> holder, () -> Caller.job(whole, 1, CPU, 64, WORKS_MS, ""), DEADLINE_MS);
        load.report(beginMs, endMs, 2_000);
        int[] before = load.count(beginMs, faultMs - DEADLINE_MS);
        int[] after = load.count(backMs + RECOVERY_MS, endMs);
        load.close();
        record.say("before the fault: " + before[1] + " of " + before[0] + " requests were served");
        record.say("later than 12 s after the machine was back: " + after[1] + " of " + after[0]);
        if (before[1] * 4 < before[0]) {
            throw new CannotRun("less than a quarter was served before the fault");
        }
        return after[1] * 4 >= after[0];
    }

    private void strike(Vm owner, long atMs) {
        try {
            Thread.sleep(Math.max(0, atMs - record.nowMs()));
            owner.signal(SIGNAL);
            record.say("SIG" + SIGNAL + " to " + owner.name);
            owner.awaitEnd();
            Thread.sleep(DOWN_MS);
            owner.start();
            record.say("started " + owner.name + " again");
        } catch (Exception e) {
            record.say("fault failed: " + e);
        }
    }

    public static void main(String[] args) throws Exception {
        run(new BacklogAtHandover());
    }
}
