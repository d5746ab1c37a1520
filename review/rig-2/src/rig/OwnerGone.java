package rig;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * All machines lose power. The one that owned the pool does not come back; it does not respond. Clients hand a job in again
 * 1.3 s after it got no answer, a broken channel or 504.
 */
final class OwnerGone extends Case {

    private static final String ZONE = "tartu-a";
    private static final long CPU = 4_000;
    private static final long WORKS_MS = 400;
    private static final long DEADLINE_MS = 1_500;
    private static final double PER_SECOND = 20;
    private static final long RETRANSMIT_MS = 1_300;
    private static final long DOWN_MS = 1_000;
    private static final long REPLACED_AFTER_MS = 4_000;
    private static final long RECOVERY_MS = 12_000;
    private static final long MEASURED_MS = 30_000;
    private static final int VMS = 10;

    /** GUARDS=0 makes the service one that does not enforce its capacity. */
    private static final boolean GUARDS = !"0".equals(System.getenv("GUARDS"));

    private final Map<String, Set<String>> runsOf = new HashMap<>();
    private final Map<String, Integer> rejected = new ConcurrentHashMap<>();
    private final Map<String, Integer> attemptsOf = new ConcurrentHashMap<>();
    private final Set<String> startedJobs = ConcurrentHashMap.newKeySet();
    private final AtomicInteger twice = new AtomicInteger();
    private final AtomicInteger over = new AtomicInteger();
    private final AtomicInteger starts = new AtomicInteger();

    private OwnerGone() throws Exception {}

    @Override
    boolean play() throws Exception {
        configure(GUARDS);
        Minion.Observer observer = new Minion.Observer() {
            @Override
            public void started(Minion m, String task, int attempt, JsonNode order) {
                starts.incrementAndGet();
                startedJobs.add(task.split("\\.")[0]);
                if (m.cpuInUse() > m.kind().cpu()) {
                    over.incrementAndGet();
                    record.say("LIMIT: " + task + "#" + attempt + " brings " + m.id + " to " + m.cpuInUse() + " of "
                            + m.kind().cpu() + ", token " + order.path("fencing_token").asLong());
                }
                synchronized (runsOf) {
                    Set<String> runs = runsOf.computeIfAbsent(task, t -> new HashSet<>());
                    runs.add(attempt + "@" + m.id);
                    if (runs.size() > 1) {
                        twice.incrementAndGet();
                        record.say("TWICE: " + task + " runs as " + runs);
                    }
                }
            }

            @Override
            public void ended(Minion m, String task, int attempt, String how) {
                synchronized (runsOf) {
                    Set<String> runs = runsOf.get(task);
                    if (runs != null) {
                        runs.remove(attempt + "@" + m.id);
                        if (runs.isEmpty()) {
                            runsOf.remove(task);
                        }
                    }
                }
            }
        };
        for (int i = 0; i < 8; i++) {
            Minion.Kind k = new Minion.Kind("case-service", ZONE, "kind-a", "r1-" + i, 16_000, 65_536, GUARDS);
            minions.add(new Minion("i-" + newId().substring(8), "127.0.0.1", k, store, record, observer));
        }
        for (int i = 0; i < VMS; i++) {
            inUse.add(addVm(ZONE, 1));
        }
        awaitReady(60_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        long faultMs = record.nowMs() + 6_000;
        long backMs = faultMs + DOWN_MS;
        long endMs = backMs + RECOVERY_MS + MEASURED_MS;
        Vm owner = owner();
        record.say("owner=" + owner.name);
        Thread faults = new Thread(() -> strike(owner, faultMs));
        if (trouble) {
            faults.start();
        }
        long pauseNanos = (long) (1_000_000_000 / PER_SECOND);
        long next = System.nanoTime();
        while (record.nowMs() < endMs) {
            String id = newId();
            clients.execute(() -> client(id));
            next += pauseNanos;
            Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
        }
        Thread.sleep(4_000);
        int lied = 0;
        for (Map.Entry<String, Integer> e : rejected.entrySet()) {
            if (e.getValue().equals(attemptsOf.get(e.getKey())) && startedJobs.contains(e.getKey())) {
                lied++;
                record.say("REFUSED: all attempts of " + e.getKey() + " were rejected, and a task of it started");
            }
        }
        clients.shutdownNow();
        record.say("starts=" + starts + " over the capacity (LIMIT)=" + over + " two runs at once (TWICE)=" + twice
                + " refused and started (REFUSED)=" + lied);
        report("before the fault", 0, faultMs - DEADLINE_MS);
        report("later than 12 s after the machines were back", backMs + RECOVERY_MS, endMs);
        int[] before = count(0, faultMs - DEADLINE_MS);
        if (before[1] * 4 < before[0] * 3) {
            throw new CannotRun("less than three quarters were served before the fault");
        }
        int[] after = count(backMs + RECOVERY_MS, endMs);
        return after[1] * 4 >= after[0];
    }

    private void report(String when, long fromMs, long toMs) {
        int[] c = count(fromMs, toMs);
        record.say(when + ": " + c[1] + " of " + c[0] + " jobs were served");
    }

    private int[] count(long fromMs, long toMs) {
        int sent = 0;
        int done = 0;
        for (Map.Entry<String, Long> e : sentMs.entrySet()) {
            if (e.getValue() >= fromMs && e.getValue() < toMs) {
                sent++;
                done += served.contains(e.getKey()) ? 1 : 0;
            }
        }
        return new int[] {sent, done};
    }

    private final Set<String> served = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> sentMs = new ConcurrentHashMap<>();
    /** The VMs to which the platform sends channels. */
    private final List<Vm> inUse = new CopyOnWriteArrayList<>();

    private void strike(Vm owner, long atMs) {
        try {
            Thread.sleep(Math.max(0, atMs - record.nowMs()));
            for (Vm v : vms) {
                v.signal("KILL");
            }
            owner.awaitEnd();
            // Whoever connects gets no answer, as from a machine without power.
            dark = new ServerSocket(owner.peerPort, 50, InetAddress.getByName(owner.ip));
            inUse.remove(owner);
            record.say("all machines lose power; " + owner.name + " is gone for good");
            Thread.sleep(DOWN_MS);
            for (Vm v : List.copyOf(vms)) {
                if (v != owner) {
                    v.start();
                }
            }
            record.say("the others are back");
            Thread.sleep(REPLACED_AFTER_MS - DOWN_MS);
            inUse.add(addVm(ZONE, 1));
            record.say("a new machine comes at another address");
        } catch (Exception e) {
            record.say("fault failed: " + e);
        }
    }

    private ServerSocket dark;

    @Override
    public void close() throws Exception {
        super.close();
        if (dark != null) {
            dark.close();
        }
    }

    private void client(String id) {
        sentMs.put(id, record.nowMs());
        for (int attempt = 0; attempt < 3; attempt++) {
            Vm to = inUse.get(ThreadLocalRandom.current().nextInt(inUse.size()));
            attemptsOf.merge(id, 1, Integer::sum);
            record.write("job " + id + " sent to " + to.name);
            Caller.Answer a = Caller.call(to.front, "POST", PREFIX + id, HOST,
                    Caller.job(Specs.of(WORKS_MS, CPU), 3, CPU, 64, WORKS_MS, ""), DEADLINE_MS, DEADLINE_MS, null);
            record.write("job " + id + " answered " + a.status() + " " + a.body());
            if (a.status() == 503 || a.status() == 429 || a.status() == 404) {
                rejected.merge(id, 1, Integer::sum);
                return;
            }
            if (a.status() == 200) {
                served.add(id);
                return;
            }
            try {
                Thread.sleep(RETRANSMIT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    public static void main(String[] args) throws Exception {
        run(new OwnerGone());
    }
}
