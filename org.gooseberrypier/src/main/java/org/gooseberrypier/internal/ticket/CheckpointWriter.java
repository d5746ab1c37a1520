package org.gooseberrypier.internal.ticket;

import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.internal.board.Counter;
import org.gooseberrypier.internal.board.CounterSection;
import org.gooseberrypier.internal.engine.Context;
import org.gooseberrypier.internal.engine.Timer;
import org.gooseberrypier.log.StreamId;
import org.gooseberrypier.ticket.CheckpointCodec;
import org.gooseberrypier.ticket.TicketReplay;

/**
 * Appends checkpoints of the configuration in force to the ticket stream before the records that led to it expire.
 *
 * <p>Every VM waits a randomized delay. When it reads a checkpoint of the configuration in force, written by any
 * VM, it restarts its delay, so that usually only one VM writes per interval.
 */
final class CheckpointWriter {

    /** Interval between checkpoints, in milliseconds; the log must retain records for at least three intervals. */
    static final long INTERVAL_MS = 600_000;

    private static final long MAX_JITTER_MS = 300_000;
    private static final long RETRY_DELAY_MS = 30_000;

    private final TicketReplay replay;
    private final CounterSection counters;
    private Timer timer;

    CheckpointWriter(TicketReplay replay, CounterSection counters) {
        this.replay = replay;
        this.counters = counters;
    }

    /** Schedules the first checkpoint; does nothing if one is scheduled. */
    void start(Context context) {
        if (timer == null) {
            schedule(INTERVAL_MS / 2, context);
        }
    }

    /** Restarts the delay after a checkpoint that agrees with the configuration in force was read from the stream. */
    void postpone(Context context) {
        schedule(INTERVAL_MS, context);
    }

    private void schedule(long delayMs, Context context) {
        if (timer != null) {
            timer.cancel();
        }
        long jitterMs = context.random().nextLong(MAX_JITTER_MS);
        timer = context.schedule(context.nowMs() + delayMs + jitterMs, this::write);
    }

    private void write(Context context) {
        if (replay.isSynchronised() && replay.inForce().isPresent()) {
            counters.increment(Counter.CHECKPOINTS_WRITTEN);
            context.emit(new Effect.AppendLog(
                    context.nextId(), StreamId.TICKETS, CheckpointCodec.format(replay.checkpoint())));
        }
        schedule(RETRY_DELAY_MS, context);
    }
}
