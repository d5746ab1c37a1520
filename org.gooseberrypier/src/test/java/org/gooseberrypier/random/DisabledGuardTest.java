package org.gooseberrypier.random;

import java.util.List;

import org.gooseberrypier.api.Core;
import org.gooseberrypier.api.DispatcherSettings;
import org.gooseberrypier.internal.submission.SafetyGuards;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Shows that the checks of the random runs find a second start when one guard against it is switched off. */
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
            String broken = brokenPromise(seed, guards);
            if (broken != null) {
                Reporter.log(
                        "event=planted_fault guard=\"" + name + "\" seed=" + seed + " found=\"" + broken + "\"", true);
                return;
            }
        }
        assertTrue(false, "no run of " + MAX_SEEDS + " found that this guard is off: " + name);
    }

    private static String brokenPromise(long seed, SafetyGuards guards) {
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
