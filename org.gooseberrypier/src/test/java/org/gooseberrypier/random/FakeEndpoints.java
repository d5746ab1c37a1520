package org.gooseberrypier.random;

import org.apache.commons.rng.UniformRandomProvider;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.TaskReply;

/** Simulates endpoints: they run tasks, refuse or fail some of them, and lose some replies. */
final class FakeEndpoints {

    private static final int MAX_DELAY_MS = 5;
    private static final int MAX_RUN_MS = 400;
    private static final int MAX_STRAGGLER_RUN_MS = 6_000;
    private static final double STRAGGLER_PROBABILITY = 0.03;
    private static final int LOST_REPLY_TIMEOUT_MS = 2_000;
    private static final int SERVER_ERROR_STATUS = 500;

    private final Schedule schedule;
    private final UniformRandomProvider random;
    private final FaultRates rates;
    private final StartTracker startTracker;
    private boolean faultsDisabled;

    FakeEndpoints(Schedule schedule, UniformRandomProvider random, FaultRates rates, StartTracker startTracker) {
        this.schedule = schedule;
        this.random = random;
        this.rates = rates;
        this.startTracker = startTracker;
    }

    /** From now on every task runs and succeeds. */
    void disableFaults() {
        faultsDisabled = true;
    }

    static Payload resultOf(Payload body) {
        return Payload.of("ran " + body.text());
    }

    void start(FakeVm.Run run, Effect.StartTask effect) {
        int arrivalDelayMs = 1 + random.nextInt(MAX_DELAY_MS);
        if (!faultsDisabled && random.nextDouble() < rates.taskRefused()) {
            reply(run, effect, 2 * arrivalDelayMs, new TaskReply.NotStarted("refused"));
            return;
        }
        int runMs = 1 + random.nextInt(random.nextDouble() < STRAGGLER_PROBABILITY ? MAX_STRAGGLER_RUN_MS : MAX_RUN_MS);
        schedule.after(arrivalDelayMs, () -> beginTask(run, effect, runMs));
    }

    void probe(FakeVm.Run run, Effect.ProbeEndpoint effect) {
        schedule.after(
                1 + random.nextInt(MAX_DELAY_MS), () -> run.deliver(new EndpointEvent.Probed(effect.endpoint(), true)));
    }

    private void beginTask(FakeVm.Run run, Effect.StartTask effect, int runMs) {
        String[] body = effect.spec().body().text().split("/");
        startTracker.start(body[0], body[1]);
        double choice = faultsDisabled ? 1 : random.nextDouble();
        if (choice < rates.taskAnswerLost()) {
            reply(run, effect, LOST_REPLY_TIMEOUT_MS, new TaskReply.Lost("no answer"));
        } else if (choice < rates.taskAnswerLost() + rates.taskFailed()) {
            reply(run, effect, runMs, new TaskReply.Failed(SERVER_ERROR_STATUS, "failed"));
        } else {
            reply(
                    run,
                    effect,
                    runMs,
                    new TaskReply.Succeeded(resultOf(effect.spec().body())));
        }
    }

    private void reply(FakeVm.Run run, Effect.StartTask effect, int delayMs, TaskReply reply) {
        schedule.after(delayMs, () -> run.deliver(new EndpointEvent.Replied(effect.attempt(), reply)));
    }
}
