package org.gooseberrypier.internal.submission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gooseberrypier.event.LifecycleEvent;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.VmId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests that no task is started twice under random message loss, partitions, pauses, restarts and log outages.
 *
 * <p>The runs with one guard disabled verify that the checks detect the duplicate starts that the guard prevents.
 */
public class RandomFaultsTest {

    private static final int FIRST_SEED = Integer.getInteger("gooseberrypier.firstSeed", 1);
    private static final int SEEDS = Integer.getInteger("gooseberrypier.seeds", 40);
    private static final int STEPS = 400;

    @Test
    public void noTaskStartsTwiceUnderRandomFaults() {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            Run run = new Run(seed, SafetyGuards.ALL);
            run.injectFaults();
            assertTrue(run.violations().isEmpty(), "seed " + seed + ": " + run.violations());
            run.removeFaults();
            assertTrue(run.servesNewKeys(), "seed " + seed + " does not serve new keys after the faults are removed");
        }
    }

    @Test
    public void disabledBackupRecordGuardIsDetected() {
        assertTrue(isDetected(new SafetyGuards(false, true, true)));
    }

    @Test
    public void disabledSealGuardIsDetected() {
        assertTrue(isDetected(new SafetyGuards(true, false, true)));
    }

    @Test
    public void disabledKeyAgeGuardIsDetected() {
        assertTrue(isDetected(new SafetyGuards(true, true, false)));
    }

    private static boolean isDetected(SafetyGuards guards) {
        for (int seed = 1; seed <= 400; seed++) {
            Run run = new Run(seed, guards);
            run.injectFaults();
            if (!run.violations().isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** One random run with three VMs. */
    private static final class Run {

        private static final String[] VMS = {"vm-1", "vm-2", "vm-3"};
        private final UniformRandomProvider random;
        private final FakeZone zone;
        private final List<Submission> submissions = new ArrayList<>();
        private final Map<Long, Submission> calls = new HashMap<>();
        private int keys;

        Run(int seed, SafetyGuards guards) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            zone = new FakeZone(guards, VMS);
            zone.taskRunMs = 300;
            zone.run(3_000);
        }

        void injectFaults() {
            for (int i = 0; i < STEPS; i++) {
                step();
                zone.run(random.nextInt(200));
            }
        }

        private void step() {
            int choice = random.nextInt(100);
            if (choice < 55) {
                submit();
            } else if (choice < 62) {
                disturbLinks();
            } else if (choice < 70) {
                restoreLinks();
            } else if (choice < 76) {
                partition(vm());
            } else if (choice < 82) {
                zone.partitioned = (from, to) -> false;
            } else if (choice < 88) {
                VmId down = vm();
                boolean all = random.nextBoolean();
                zone.logUnavailable = v -> all || v.equals(down);
            } else if (choice < 92) {
                zone.logUnavailable = v -> false;
            } else if (choice < 94) {
                restart(vm());
            } else if (choice < 97) {
                zone.nodes.get(vm()).paused = true;
            } else {
                zone.nodes.values().forEach(zone::resume);
            }
        }

        private void restart(VmId vm) {
            if (random.nextBoolean()) {
                zone.handle(zone.nodes.get(vm), new LifecycleEvent.StopRequested());
                zone.run(random.nextInt(2_000));
            }
            zone.kill(vm);
            zone.startVm(vm);
        }

        private void submit() {
            boolean resubmit = !submissions.isEmpty() && random.nextInt(3) > 0;
            Submission s = resubmit ? recentSubmission() : zone.keyed("key-" + ++keys, "x");
            if (!resubmit) {
                submissions.add(s);
            }
            calls.put(zone.submit(vm().name(), s), s);
        }

        private Submission recentSubmission() {
            int back = random.nextInt(Math.min(8, submissions.size()));
            return submissions.get(submissions.size() - 1 - back);
        }

        private void disturbLinks() {
            int percent = random.nextInt(60);
            int delayMs = 1 + random.nextInt(400);
            zone.dropped = m -> random.nextInt(100) < percent;
            zone.duplicated = m -> random.nextInt(100) < percent;
            zone.linkDelayMs = () -> 1 + random.nextInt(delayMs);
            zone.appendDelayMs = () -> 10 + random.nextInt(10 * delayMs);
        }

        private void partition(VmId vm) {
            zone.partitioned = (from, to) -> from.equals(vm) != to.equals(vm);
        }

        private VmId vm() {
            return new VmId(VMS[random.nextInt(VMS.length)]);
        }

        List<String> violations() {
            List<String> found = new ArrayList<>();
            zone.starts.forEach((task, n) -> {
                if (n > 1) {
                    found.add(task + " started " + n + " times");
                }
            });
            zone.answers.forEach((call, answer) -> check(calls.get(call), answer, found));
            return found;
        }

        private void check(Submission s, Answer answer, List<String> found) {
            JobId job = KeyedSubmission.jobId(s);
            int starts = zone.starts(s.key().orElseThrow().value());
            if (answer instanceof Answer.NotRun && starts > 0) {
                found.add(job + " answered not-run although a task was started");
            }
            if (answer instanceof Answer.Complete c
                    && (c.results().size() != s.tasks().size()
                            || starts < s.tasks().size())) {
                found.add(job + " answered complete although results or starts are missing");
            }
        }

        private void restoreLinks() {
            zone.dropped = m -> false;
            zone.duplicated = m -> false;
            zone.linkDelayMs = () -> 1;
            zone.appendDelayMs = () -> 10;
        }

        void removeFaults() {
            restoreLinks();
            zone.partitioned = (from, to) -> false;
            zone.logUnavailable = v -> false;
            zone.nodes.values().forEach(zone::resume);
            zone.run(40_000);
            for (FakeZone.Node n : List.copyOf(zone.nodes.values())) {
                if (n.exited) {
                    zone.startVm(n.self.vm());
                }
            }
            zone.run(10_000);
        }

        private static boolean isDefinite(Answer answer) {
            return answer instanceof Answer.Complete || answer instanceof Answer.NotRun;
        }

        boolean servesNewKeys() {
            List<Long> fresh = new ArrayList<>();
            for (int i = 0; i < 64; i++) {
                fresh.add(zone.submit(vm().name(), zone.keyed("fresh-" + i, "x")));
            }
            zone.run(15_000);
            return fresh.stream().allMatch(c -> isDefinite(zone.answers.get(c)));
        }
    }
}
