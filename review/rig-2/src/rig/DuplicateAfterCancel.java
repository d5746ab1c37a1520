package rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Jobs are cancelled at the VM that holds them, and their POSTs are answered 200. Seconds later the same POST arrives once
 * more.
 */
final class DuplicateAfterCancel extends Case {

    private static final String ZONE = "tartu-a";
    private static final long CPU = 4_000;
    private static final long WORKS_MS = 900;
    private static final int JOBS = 6;
    private static final long CANCEL_MS = 3_000;

    /** From the acknowledgement of the cancel until the same request arrives again. */
    private static final long DUPLICATE_AFTER_MS = 4_000;

    private final Map<String, Long> cancelledAtMs = new ConcurrentHashMap<>();
    private final Map<String, Caller.Answer> answers = new ConcurrentHashMap<>();
    private final AtomicInteger lateStarts = new AtomicInteger();

    private DuplicateAfterCancel() throws Exception {}

    @Override
    boolean play() throws Exception {
        configure(true);
        Minion.Observer observer = new Minion.Observer() {
            @Override
            public void started(Minion m, String task, int attempt, JsonNode order) {
                Long at = cancelledAtMs.get(task.split("\\.")[0]);
                if (at != null && record.nowMs() > at + CANCEL_MS) {
                    lateStarts.incrementAndGet();
                    record.say("UNASKED: " + task + "#" + attempt + " starts on " + m.id + " "
                            + (record.nowMs() - at) + " ms after its job's cancelling was acknowledged");
                }
            }
        };
        for (int i = 0; i < 6; i++) {
            Minion.Kind k = new Minion.Kind("case-service", ZONE, "kind-a", "r1-1", 16_000, 65_536, true);
            minions.add(new Minion("i-" + newId().substring(8), "127.0.0.1", k, store, record, observer));
        }
        startVms(ZONE, ZONE);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = newId();
            ids.add(id);
            Thread t = new Thread(() -> answers.put(id, post(id, vms.get(0))));
            t.setDaemon(true);
            t.start();
        }
        Thread.sleep(400);
        for (String id : ids) {
            Caller.Answer a = Caller.call(vms.get(0).front, "DELETE", PREFIX + id, HOST, null, 1_500, 1_600, null);
            record.say("DELETE " + id + " at " + vms.get(0).name + " answered " + a.status() + " " + a.body());
            if (a.status() / 100 != 2) {
                throw new CannotRun("a cancel was not acknowledged with 2xx");
            }
            cancelledAtMs.put(id, record.nowMs());
        }
        Thread.sleep(DUPLICATE_AFTER_MS);
        int ended = 0;
        for (String id : ids) {
            Caller.Answer a = answers.get(id);
            record.say("POST " + id + " was answered " + a);
            ended += a != null && a.status() == 200 ? 1 : 0;
        }
        if (ended < JOBS) {
            throw new CannotRun("a POST was not answered 200");
        }
        if (trouble) {
            for (String id : ids) {
                Thread t = new Thread(() -> record.say("the same POST " + id + " is answered " + post(id, vms.get(0))));
                t.setDaemon(true);
                t.start();
            }
        }
        Thread.sleep(3_000);
        record.say("starts later than " + CANCEL_MS + " ms after the acknowledgement: " + lateStarts);
        return lateStarts.get() == 0;
    }

    private Caller.Answer post(String id, Vm vm) {
        record.write("POST " + id + " sent to " + vm.name);
        Caller.Answer a = Caller.call(vm.front, "POST", PREFIX + id, HOST,
                Caller.job(Specs.of(WORKS_MS, CPU), 2, CPU, 64, WORKS_MS, ""), 1_500, 1_600, null);
        record.write("POST " + id + " answered " + a.status() + " " + a.body());
        return a;
    }

    public static void main(String[] args) throws Exception {
        run(new DuplicateAfterCancel());
    }
}
