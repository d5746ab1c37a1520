package rig;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A minion of a service that does not enforce its capacity crashes and boots again under its id and at its address, but as
 * another kind with half the capacity. Its entry in the store is there before it takes calls. Jobs go on all the while.
 */
final class RebootSmaller extends Case {

    private static final String ZONE = "tartu-a";
    private static final long CPU = 4_000;
    private static final long WORKS_MS = 150;
    /** More than five minions can do, less than six can. */
    private static final long PAUSE_MS = 14;
    private static final int CRASHES = 5;

    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();

    private RebootSmaller() throws Exception {}

    private static Minion.Kind kind(String kind) {
        long cpu = kind.equals("kind-a") ? 16_000 : 8_000;
        return new Minion.Kind("case-service", ZONE, kind, "r1-1", cpu, 65_536, false);
    }

    @Override
    boolean play() throws Exception {
        configure(false);
        Minion.Observer observer = new Minion.Observer() {
            @Override
            public void started(Minion m, String task, int attempt, JsonNode order) {
                starts.incrementAndGet();
                if (m.cpuInUse() > m.kind().cpu()) {
                    wrong.incrementAndGet();
                    record.say("LIMIT: " + task + "#" + attempt + " brings " + m.id + " to " + m.cpuInUse() + " of "
                            + m.kind().cpu() + " thousandths of a core");
                }
            }
        };
        for (int i = 0; i < 6; i++) {
            minions.add(new Minion("i-" + newId().substring(8), "127.0.0.1", kind("kind-a"), store, record, observer));
        }
        startVms(ZONE, ZONE);
        ExecutorService callers = Executors.newCachedThreadPool();
        long end = record.nowMs() + 38_000;
        Thread load = new Thread(() -> submit(callers, end));
        load.start();
        Thread.sleep(3_000);
        Minion changing = minions.get(0);
        String next = "kind-b";
        for (int i = 0; i < CRASHES && trouble; i++) {
            changing.crash();
            Thread.sleep(3_000);
            changing.boot(kind(next));
            next = next.equals("kind-b") ? "kind-a" : "kind-b";
            Thread.sleep(3_500);
        }
        load.join();
        Thread.sleep(2_000);
        callers.shutdownNow();
        record.say("jobs=" + asked + " served=" + served + " starts=" + starts + " starts_over_the_capacity=" + wrong);
        if (served.get() < asked.get() / 2) {
            throw new CannotRun("only " + served + " of " + asked + " jobs were served");
        }
        return wrong.get() == 0;
    }

    private void submit(ExecutorService callers, long endMs) {
        int n = 0;
        while (record.nowMs() < endMs) {
            Vm vm = vms.get(n++ % vms.size());
            callers.execute(() -> {
                String id = newId();
                asked.incrementAndGet();
                record.write("job " + id + " sent to " + vm.name);
                Caller.Answer a = Caller.call(vm.front, "POST", PREFIX + id, HOST,
                        Caller.job(Specs.of(WORKS_MS, CPU), 2, CPU, 64, WORKS_MS, ""), 1_500, 1_600, null);
                record.write("job " + id + " answered " + a.status() + " " + a.body());
                if (a.status() == 200) {
                    served.incrementAndGet();
                }
            });
            try {
                Thread.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    public static void main(String[] args) throws Exception {
        run(new RebootSmaller());
    }
}
