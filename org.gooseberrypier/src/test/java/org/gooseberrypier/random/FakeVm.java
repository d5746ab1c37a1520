package org.gooseberrypier.random;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import org.gooseberrypier.api.Core;
import org.gooseberrypier.effect.Effect;
import org.gooseberrypier.event.Event;
import org.gooseberrypier.event.LifecycleEvent;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.log.StreamId;

/** Simulates one VM: its core, its clock, and whether it is up, paused or cut off from the log. */
final class FakeVm {

    private final VmId id;
    private final ZoneId zone;
    private final Schedule schedule;
    private final long clockSkewMs;
    private final CoreFactory factory;
    private final BiConsumer<FakeVm, Effect> effects;
    private Run run;
    private boolean cutFromLog;
    private long incarnations;

    FakeVm(
            VmId id,
            ZoneId zone,
            Schedule schedule,
            long clockSkewMs,
            CoreFactory factory,
            BiConsumer<FakeVm, Effect> effects) {
        this.id = id;
        this.zone = zone;
        this.schedule = schedule;
        this.clockSkewMs = clockSkewMs;
        this.factory = factory;
        this.effects = effects;
    }

    /** Creates the core of one run of a VM. */
    interface CoreFactory {

        Core create(Member self, ZoneId zone, org.gooseberrypier.api.EffectSink sink);
    }

    VmId id() {
        return id;
    }

    ZoneId zone() {
        return zone;
    }

    Run run() {
        return run;
    }

    boolean isUp() {
        return run != null;
    }

    boolean isReady() {
        return run != null && !run.core.board().lifecycle().isStopping();
    }

    boolean isCutFromLog() {
        return cutFromLog;
    }

    void setCutFromLog(boolean value) {
        cutFromLog = value;
    }

    void start() {
        run = new Run(new Member(id, ++incarnations));
        run.deliver(new LifecycleEvent.Started());
    }

    void kill() {
        run = null;
    }

    long nextTimerAtMs() {
        if (run == null || run.paused) {
            return Long.MAX_VALUE;
        }
        long at = run.core.nextTimerAtMs();
        return at == Long.MAX_VALUE ? at : at - clockSkewMs;
    }

    void advance() {
        if (run != null && !run.paused) {
            run.core.advance(clockMs());
        }
    }

    private long clockMs() {
        return schedule.nowMs() + clockSkewMs;
    }

    /** One incarnation of the VM; events for an incarnation that has ended are dropped. */
    final class Run {

        private final Member member;
        private final Core core;
        private final Deque<Event> heldEvents = new ArrayDeque<>();
        private final Map<StreamId, FakeLog.Tail> tails = new HashMap<>();
        private boolean paused;

        Run(Member member) {
            this.member = member;
            this.core = factory.create(member, zone, this::perform);
        }

        Member member() {
            return member;
        }

        Core core() {
            return core;
        }

        Map<StreamId, FakeLog.Tail> tails() {
            return tails;
        }

        boolean isCurrent() {
            return run == this;
        }

        void deliver(Event event) {
            if (!isCurrent()) {
                return;
            }
            if (paused) {
                heldEvents.add(event);
            } else {
                handle(event);
            }
        }

        private void handle(Event event) {
            Trace.print(schedule.nowMs(), id, "in", event);
            core.handle(event, clockMs());
        }

        void pause() {
            paused = true;
        }

        void resume() {
            paused = false;
            while (isCurrent() && !heldEvents.isEmpty()) {
                handle(heldEvents.poll());
            }
        }

        private void perform(Effect effect) {
            effects.accept(FakeVm.this, effect);
        }
    }
}
