package org.gooseberrypier.server.caller;

import java.util.List;
import java.util.Optional;

import org.gooseberrypier.event.CallerEvent;
import org.gooseberrypier.lib.Answer;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Resources;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskSpec;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.WorkId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class CallerServerTest {

    private static final TeamId TEAM = new TeamId("tartu");
    private static final IdempotencyKey KEY = new IdempotencyKey("k", Optional.empty(), Optional.empty());

    @Test
    public void overloadedVmReportsNotRunOnlyForJobsWithoutAKey() {
        assertEquals(refusal(submitted(Optional.empty())), Answer.NotRun.class);
        assertEquals(refusal(submitted(Optional.of(KEY))), Answer.Unknown.class);
        assertEquals(refusal(new CallerEvent.CancelRequested(1, TEAM, KEY)), Answer.Unknown.class);
        assertEquals(refusal(new CallerEvent.StatusRequested(1, TEAM, KEY)), Answer.Unknown.class);
    }

    private static Class<?> refusal(CallerEvent event) {
        return CallerServer.overloaded(event, "full").getClass();
    }

    private static CallerEvent submitted(Optional<IdempotencyKey> key) {
        TaskSpec task = new TaskSpec("a", Payload.EMPTY, 0, Resources.NONE);
        return new CallerEvent.Submitted(
                1, new Submission(TEAM, new WorkId("verify"), 1_000, false, key, List.of(task)));
    }
}
