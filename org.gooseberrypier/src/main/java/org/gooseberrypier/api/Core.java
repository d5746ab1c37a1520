package org.gooseberrypier.api;

import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.internal.board.Blackboard;
import org.gooseberrypier.internal.engine.Controller;
import org.gooseberrypier.internal.engine.Engine;
import org.gooseberrypier.internal.lifecycle.LifecycleController;
import org.gooseberrypier.internal.membership.MembershipController;
import org.gooseberrypier.internal.placement.PlacementAdmission;
import org.gooseberrypier.internal.placement.PlacementController;
import org.gooseberrypier.internal.submission.Admission;
import org.gooseberrypier.internal.submission.SafetyGuards;
import org.gooseberrypier.internal.submission.SubmissionController;
import org.gooseberrypier.internal.ticket.TicketController;

/** The deterministic core of one VM: the same events at the same times produce the same effects. */
public final class Core {

    private final Blackboard board;
    private final Engine engine;

    /**
     * Creates a core with all guards against a second start of a task.
     *
     * @param settings the settings
     * @param sink receives the effects
     */
    public Core(DispatcherSettings settings, EffectSink sink) {
        this(settings, sink, SafetyGuards.ALL);
    }

    /**
     * Creates a core with selected guards; tests use it to disable guards.
     *
     * @param settings the settings
     * @param sink receives the effects
     * @param guards the guards against a second start of a task
     */
    public Core(DispatcherSettings settings, EffectSink sink, SafetyGuards guards) {
        board = new Blackboard(settings);
        Admission admission = new PlacementAdmission(board);
        List<Controller> controllers = List.of(
                new TicketController(board),
                new LifecycleController(board),
                new MembershipController(board),
                new SubmissionController(board, admission, guards),
                new PlacementController(board));
        engine = new Engine(controllers, sink, RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed()));
    }

    /**
     * Runs the timers that are due, then handles one event.
     *
     * @param event the event
     * @param eventMs its time in milliseconds since the epoch
     */
    public void handle(Event event, long eventMs) {
        engine.handle(event, eventMs);
    }

    /**
     * Runs the timers that are due.
     *
     * @param timeMs the time in milliseconds since the epoch
     */
    public void advance(long timeMs) {
        engine.advance(timeMs);
    }

    /**
     * Returns the time at which the next timer is due.
     *
     * @return milliseconds since the epoch, {@link Long#MAX_VALUE} if there is none
     */
    public long nextTimerAtMs() {
        return engine.nextTimerAtMs();
    }

    /**
     * Returns the state of the core, which may be read on the core's thread only.
     *
     * @return the blackboard
     */
    public Blackboard board() {
        return board;
    }
}
