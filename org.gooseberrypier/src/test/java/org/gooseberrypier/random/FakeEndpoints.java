package org.gooseberrypier.random;

import org.apache.commons.rng.UniformRandomProvider;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.EndpointEvent;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.TaskReply;

/** The endpoints: they run tasks for a while, refuse some, fail some, and lose some answers. */
final class FakeEndpoints {

    private static final int MAX_DELAY_MS = 5;
    private static final int MAX_RUN_MS = 400;
    private static final int MAX_STRAGGLE_MS = 6_000;
    private static final double STRAGGLE = 0.03;
    private static final int LOST_MS = 2_000;
    private static final int SERVER_ERROR = 500;

    private final Schedule schedule;
    private final UniformRandomProvider random;
    private final FaultRates rates;
    private final StartTracker ledger;
    private boolean calm;

    FakeEndpoints(Schedule schedule, UniformRandomProvider random, FaultRates rates, StartTracker ledger) {
        this.schedule = schedule;
        this.random = random;
        this.rates = rates;
        this.ledger = ledger;
    }

    /** From now on every task runs and succeeds. */
    void disableFaults() {
        calm = true;
    }

    static Payload resultOf(Payload body) {
        return Payload.of("ran " + body.text());
    }

    void start(FakeVm.Run run, Effect.StartTask effect) {
        int arrivalMs = 1 + random.nextInt(MAX_DELAY_MS);
        if (!calm && random.nextDouble() < rates.taskRefused()) {
            reply(run, effect, 2 * arrivalMs, new TaskReply.NotStarted("refused"));
            return;
        }
        int runMs = 1 + random.nextInt(random.nextDouble() < STRAGGLE ? MAX_STRAGGLE_MS : MAX_RUN_MS);
        schedule.after(arrivalMs, () -> begin(run, effect, runMs));
    }

    void probe(FakeVm.Run run, Effect.ProbeEndpoint effect) {
        schedule.after(
                1 + random.nextInt(MAX_DELAY_MS), () -> run.deliver(new EndpointEvent.Probed(effect.endpoint(), true)));
    }

    private void begin(FakeVm.Run run, Effect.StartTask effect, int runMs) {
        String[] body = effect.spec().body().text().split("/");
        ledger.start(body[0], body[1]);
        double fate = calm ? 1 : random.nextDouble();
        if (fate < rates.taskAnswerLost()) {
            reply(run, effect, LOST_MS, new TaskReply.Lost("no answer"));
        } else if (fate < rates.taskAnswerLost() + rates.taskFailed()) {
            reply(run, effect, runMs, new TaskReply.Failed(SERVER_ERROR, "failed"));
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
