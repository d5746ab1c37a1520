package org.gooseberrypier.load.run;

import org.gooseberrypier.load.client.JobOutcome;
import org.gooseberrypier.load.cluster.ClusterPlan;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class DemoTest {

    private static final double SECONDS = 5;

    @Test(timeOut = 120_000)
    public void everyGuaranteeHoldsDuringConcurrentTicketsAndVmReplacement() throws Exception {
        ClusterPlan plan = ClusterPlan.spread(ClusterPlan.DEFAULT_ZONES, 4, 9, 4, true, "credits");
        DemoResult result = new Demo(plan, SECONDS, 1, Progress.none()).call();
        assertTrue(result.holds(), result.guarantees().toString());
        assertTrue(result.report().outcomes(JobOutcome.Kind.COMPLETE) > 0);
    }
}
