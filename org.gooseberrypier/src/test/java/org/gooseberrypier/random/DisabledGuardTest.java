package org.gooseberrypier.random;

import java.util.List;

import org.gooseberrypier.api.Core;
import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.internal.submission.SafetyGuards;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Checks that the random runs detect a second start of a task when one of the guards against it is disabled. */
public class DisabledGuardTest {

    private static final int MAX_SEEDS = 60;
    private static final long DURATION_MS = 60_000;

    @DataProvider
    public Object[][] guards() {
        return new Object[][] {
            {"backup's record", new SafetyGuards(false, true, true)},
            {"seal", new SafetyGuards(true, false, true)},
            {"key age", new SafetyGuards(true, true, false)}
        };
    }

    @Test(dataProvider = "guards")
    public void disabledGuardIsDetected(String name, SafetyGuards guards) {
        for (long seed = 1; seed <= MAX_SEEDS; seed++) {
            String violation = findViolation(seed, guards);
            if (violation != null) {
                Reporter.log(
                        "event=disabled_guard guard=\"" + name + "\" seed=" + seed + " violation=\"" + violation + "\"",
                        true);
                return;
            }
        }
        assertTrue(false, "none of " + MAX_SEEDS + " runs detected the disabled guard: " + name);
    }

    private static String findViolation(long seed, SafetyGuards guards) {
        FakeVm.CoreFactory cores = (self, zone, sink) -> new Core(
                DispatcherSettings.builder(self, zone)
                        .seed(seed + self.hashCode())
                        .build(),
                sink,
                guards);
        try {
            new RandomRun(seed, List.of(3), FaultRates.FREQUENT, cores).runFaults(DURATION_MS);
            return null;
        } catch (GuaranteeViolatedException e) {
            return e.getMessage();
        }
    }
}
