package org.gooseberrypier.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/** Seeded random runs of several VMs under faults; each guard that is switched off at the endpoints must be found. */
public class PoolRandomTest {

    private static final int FIRST_SEED = Integer.getInteger("pool.seed", 1);
    private static final int SEEDS = Integer.getInteger("pool.seeds", 150);
    private static final int PLANTED_SEEDS = 200;
    /** Longer than an endpoint counts as alive after it left the list, so that the VMs know all of them, in milliseconds. */
    private static final long WARM_UP_MS = 18_000;

    private static final long FAULTS_MS = 25_000;
    private static final long RECOVERY_MS = 20_000;

    private interface Setup {
        void apply(SimulatedEndpoint endpoint);
    }

    @Test
    public void noTaskRunsTwiceConcurrentlyAndEveryCallerIsAnswered() {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            PoolSimulation s = run(seed, e -> {});
            List<String> broken = new ArrayList<>(s.violations);
            for (PoolSimulation.Caller c : s.callers.values()) {
                if (!c.isAnswered()) {
                    broken.add("not answered: " + c.job.id() + " " + c.answers);
                }
            }
            assertEquals(
                    broken, List.of(), "seed " + seed + "\n" + (broken.isEmpty() ? "" : history(s, broken.get(0))));
        }
    }

    /** Returns what the VMs logged of the job that a violation names and of the ownership. */
    private static String history(PoolSimulation s, String violation) {
        int at = violation.indexOf("job-");
        String job = violation.substring(at, at + 7);
        List<String> lines = new ArrayList<>();
        for (SimulatedVm v : s.vms) {
            for (String l : v.log) {
                if (l.contains(job) || l.contains("owner") || l.contains("token")) {
                    lines.add(l);
                }
            }
        }
        lines.sort(Comparator.comparingLong(l -> Long.parseLong(l.substring(0, l.indexOf(' ')))));
        return violation + "\n" + String.join("\n", lines);
    }

    @Test
    public void missingFencingIsDetected() {
        assertFalse(findsPlanted(e -> e.checksToken = false).isEmpty());
    }

    @Test
    public void lateStartsAndForgottenStopsAreDetected() {
        assertFalse(findsPlanted(e -> {
                    e.checksDeadline = false;
                    e.remembersStops = false;
                })
                .isEmpty());
    }

    @Test
    public void missingLeaseExpiryIsDetected() {
        assertFalse(findsPlanted(e -> e.enforcesLease = false).isEmpty());
    }

    private static List<String> findsPlanted(Setup fault) {
        for (int seed = 1; seed <= PLANTED_SEEDS; seed++) {
            List<String> found = run(seed, fault).violations;
            if (!found.isEmpty()) {
                System.out.println("found by seed " + seed + ": " + found.get(0));
                return found;
            }
        }
        return List.of();
    }

    private static PoolSimulation run(int seed, Setup setup) {
        PoolSimulation s = new PoolSimulation(seed, 7, 9);
        s.endpoints.forEach(setup::apply);
        if (seed % 2 == 0) {
            s.vms.forEach(v -> v.milliCores = 270 + 410 * (v.index % 3));
        }
        s.startAll();
        s.runUntil(WARM_UP_MS);
        submitAll(s);
        new Faults(s).schedule();
        s.runUntil(WARM_UP_MS + FAULTS_MS);
        heal(s);
        s.runUntil(WARM_UP_MS + FAULTS_MS + RECOVERY_MS);
        return s;
    }

    private static void submitAll(PoolSimulation s) {
        Random r = s.random;
        for (int i = 0; i < 250; i++) {
            String id = String.format("job-%03d", i);
            PoolJob job = r.nextInt(3) == 0
                    ? PoolJobs.job(id, 1 + r.nextInt(4), 30 + r.nextInt(300))
                    : PoolJobs.patientJob(
                            id, 1 + r.nextInt(4), r.nextInt(6) == 0 ? 1_500 + r.nextInt(1_500) : 30 + r.nextInt(600));
            s.after(r.nextInt((int) FAULTS_MS), () -> s.submit(job));
        }
    }

    private static void heal(PoolSimulation s) {
        s.cuts.clear();
        s.storeDown = false;
        s.answerLossProbability = 0;
        s.lateStartProbability = 0;
        for (SimulatedVm v : s.vms) {
            v.thaw();
            if (!v.alive) {
                s.start(v);
            }
        }
        for (SimulatedEndpoint e : s.endpoints) {
            e.slowness = 1;
            if (!e.alive) {
                e.restart();
            }
        }
    }

    /** Draws faults and their ends. */
    private static final class Faults {

        private final PoolSimulation s;
        private final Random r;

        Faults(PoolSimulation s) {
            this.s = s;
            this.r = s.random;
        }

        void schedule() {
            int count = 4 + r.nextInt(8);
            for (int i = 0; i < count; i++) {
                s.after(r.nextInt((int) (FAULTS_MS - 6_000)), this::inject);
            }
        }

        private void inject() {
            long forMs = 300 + r.nextInt(5_000);
            switch (r.nextInt(12)) {
                case 0 -> killOwner(forMs);
                case 1 -> kill(s.vms.get(r.nextInt(s.vms.size())), forMs);
                case 11 -> killMost(forMs);
                case 2 -> freeze(s.vms.get(r.nextInt(s.vms.size())), forMs);
                case 3 ->
                    s.vms.stream()
                            .filter(v -> v.alive && v.isOwner())
                            .findFirst()
                            .ifPresent(v -> freeze(v, forMs));
                case 4 -> cutZone(2 * forMs);
                case 5 -> cutVm(forMs);
                case 6 -> {
                    s.storeDown = true;
                    s.after(forMs, () -> s.storeDown = false);
                }
                case 7 -> {
                    s.answerLossProbability = 0.1;
                    s.after(forMs, () -> s.answerLossProbability = 0);
                }
                case 8 -> {
                    List<String> all = new ArrayList<>();
                    s.vms.forEach(v -> all.add("vm-" + v.index));
                    cut(List.of("endpoint-" + r.nextInt(s.endpoints.size())), all, forMs);
                }
                case 9 -> {
                    s.lateStartProbability = 0.1;
                    s.after(forMs, () -> s.lateStartProbability = 0);
                    // Orders of an owner that is gone by then.
                    s.after(r.nextInt((int) forMs), () -> killOwner(forMs));
                }
                default -> crash(s.endpoints.get(r.nextInt(s.endpoints.size())), forMs);
            }
        }

        private void killOwner(long forMs) {
            s.vms.stream().filter(v -> v.alive && v.isOwner()).findFirst().ifPresent(v -> kill(v, forMs));
        }

        /** Kills all VMs but those of one zone, which start again soon and know nothing of before. */
        private void killMost(long forMs) {
            String zone = "zone-" + r.nextInt(3);
            for (SimulatedVm v : s.vms) {
                if (!v.contact.zone().equals(zone)) {
                    kill(v, forMs / 4);
                }
            }
        }

        private void kill(SimulatedVm vm, long forMs) {
            if (vm.alive) {
                s.logEvent("owner or VM killed: vm-" + vm.index + " for " + forMs);
                s.kill(vm);
                s.after(forMs, () -> {
                    if (!vm.alive) {
                        s.start(vm);
                    }
                });
            }
        }

        private void freeze(SimulatedVm vm, long forMs) {
            if (vm.alive && !vm.frozen) {
                s.logEvent("owner or VM frozen: vm-" + vm.index + " for " + forMs);
                vm.freeze();
                s.after(forMs, vm::thaw);
            }
        }

        private void crash(SimulatedEndpoint e, long forMs) {
            if (e.alive) {
                e.crash();
                s.after(forMs, () -> {
                    if (!e.alive) {
                        e.restart();
                    }
                });
            }
        }

        private void cutZone(long forMs) {
            String zone = "zone-" + r.nextInt(3);
            boolean store = r.nextBoolean();
            List<String> inside = new ArrayList<>();
            List<String> outside = new ArrayList<>(List.of("store"));
            s.vms.forEach(v -> (("zone-" + v.index % 3).equals(zone) ? inside : outside).add("vm-" + v.index));
            s.endpoints.forEach(e -> (e.registration.zone().equals(zone) ? inside : outside).add(e.id));
            if (!store) {
                outside.remove("store");
            }
            cut(inside, outside, forMs);
        }

        private void cutVm(long forMs) {
            List<String> others = new ArrayList<>(List.of("store"));
            String vm = "vm-" + r.nextInt(s.vms.size());
            s.vms.forEach(v -> others.add("vm-" + v.index));
            if (r.nextBoolean()) {
                s.endpoints.forEach(e -> others.add(e.id));
            }
            others.remove(vm);
            cut(List.of(vm), others, forMs);
        }

        private void cut(List<String> inside, List<String> outside, long forMs) {
            List<String> made = new ArrayList<>();
            inside.forEach(a -> outside.forEach(b -> made.add(a + "|" + b)));
            s.logEvent("cut " + inside + " from " + outside + " for " + forMs);
            s.cuts.addAll(made);
            s.after(forMs, () -> s.cuts.removeAll(made));
        }
    }
}
