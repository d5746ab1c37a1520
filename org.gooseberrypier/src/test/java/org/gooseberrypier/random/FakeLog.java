package org.gooseberrypier.random;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.LogEvent;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.log.StreamId;

/** Simulates the platform's log, which can be slow, down, lose answers and expire old records. */
final class FakeLog {

    private static final int MAX_DELAY_MS = 40;
    private static final int POLL_INTERVAL_MS = 150;
    private static final int APPEND_TIMEOUT_MS = 1_000;

    private final Schedule schedule;
    private final UniformRandomProvider random;
    private final FaultRates rates;
    private final Map<StreamId, Stream> streams = new HashMap<>();
    private boolean down;

    FakeLog(Schedule schedule, UniformRandomProvider random, FaultRates rates) {
        this.schedule = schedule;
        this.random = random;
        this.rates = rates;
    }

    void setDown(boolean value) {
        down = value;
    }

    long append(StreamId stream, Payload data) {
        Stream s = stream(stream);
        long offset = s.firstOffset + s.records.size();
        s.records.add(new LogRecord(offset, schedule.nowMs(), data));
        return offset;
    }

    /** Removes records older than a time from all streams except the ticket stream. */
    void expireViews(long olderThanMs) {
        streams.forEach((id, stream) -> {
            if (!id.equals(StreamId.TICKETS)) {
                stream.expire(olderThanMs);
            }
        });
    }

    void append(FakeVm vm, Effect.AppendLog effect) {
        FakeVm.Run run = vm.run();
        if (isUnreachable(vm) || random.nextDouble() < rates.appendLost()) {
            schedule.after(APPEND_TIMEOUT_MS, () -> answer(run, effect, new AppendResult.Uncertain("timeout")));
            return;
        }
        boolean answerLost = random.nextDouble() < rates.appendAnswerLost();
        schedule.after(randomDelayMs(), () -> {
            long offset = append(effect.stream(), effect.data());
            if (answerLost) {
                schedule.after(APPEND_TIMEOUT_MS, () -> answer(run, effect, new AppendResult.Uncertain("timeout")));
            } else {
                schedule.after(randomDelayMs(), () -> answer(run, effect, new AppendResult.Appended(offset)));
            }
        });
    }

    /** Follows a stream from its oldest record; replaces an earlier tail of the same run and stream. */
    void tail(FakeVm vm, StreamId stream) {
        Tail tail = new Tail(vm, vm.run(), stream);
        vm.run().tails().put(stream, tail);
        poll(tail, 0);
    }

    private void poll(Tail tail, long from) {
        if (!tail.run().isCurrent() || tail.run().tails().get(tail.stream()) != tail) {
            return;
        }
        if (isUnreachable(tail.vm())) {
            schedule.after(randomDelayMs(), () -> tail.run().deliver(new LogEvent.ReadFailed(tail.stream(), "down")));
            schedule.after(POLL_INTERVAL_MS, () -> poll(tail, from));
            return;
        }
        Stream s = stream(tail.stream());
        List<LogRecord> records =
                s.records.stream().filter(r -> r.offset() >= from).toList();
        long next = s.firstOffset + s.records.size();
        LogEvent.Read read = new LogEvent.Read(tail.stream(), from, s.firstOffset, next, records);
        int delayMs = randomDelayMs();
        schedule.after(delayMs, () -> tail.run().deliver(read));
        schedule.after(delayMs + POLL_INTERVAL_MS, () -> poll(tail, Math.max(from, next)));
    }

    private boolean isUnreachable(FakeVm vm) {
        return down || vm.isCutFromLog();
    }

    private void answer(FakeVm.Run run, Effect.AppendLog effect, AppendResult result) {
        run.deliver(new LogEvent.AppendEnded(effect.append(), result));
    }

    private Stream stream(StreamId stream) {
        return streams.computeIfAbsent(stream, s -> new Stream());
    }

    private int randomDelayMs() {
        return 1 + random.nextInt(MAX_DELAY_MS);
    }

    /** One run's subscription to a stream. */
    static final class Tail {

        private final FakeVm vm;
        private final FakeVm.Run run;
        private final StreamId stream;

        Tail(FakeVm vm, FakeVm.Run run, StreamId stream) {
            this.vm = vm;
            this.run = run;
            this.stream = stream;
        }

        FakeVm vm() {
            return vm;
        }

        FakeVm.Run run() {
            return run;
        }

        StreamId stream() {
            return stream;
        }
    }

    private static final class Stream {
        private long firstOffset;
        private final List<LogRecord> records = new ArrayList<>();

        private void expire(long olderThanMs) {
            while (!records.isEmpty() && records.get(0).appendedAtMs() < olderThanMs) {
                records.remove(0);
                firstOffset++;
            }
        }
    }
}
