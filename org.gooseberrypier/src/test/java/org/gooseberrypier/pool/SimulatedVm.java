package org.gooseberrypier.pool;

import java.util.ArrayDeque;
import java.util.Deque;

/** A VM under virtual time; its steady clock stands still while it is frozen. */
final class SimulatedVm {

    private static final long TICK_MS = 20;
    private static final int KEPT_LINES = 4000;

    final int index;
    final Deque<String> log = new ArrayDeque<>();
    VmIncarnation contact;
    boolean alive;
    boolean frozen;
    String linkTarget = "";
    boolean linked;
    private final PoolSimulation world;
    int milliCores = 750;
    private final Deque<PoolEvent> delayed = new ArrayDeque<>();
    private PoolCore core;
    private long clockLagMs;
    private long frozenAtMs;
    private long life;

    SimulatedVm(PoolSimulation world, int index) {
        this.world = world;
        this.index = index;
    }

    void start(long incarnation) {
        life++;
        alive = true;
        frozen = false;
        linked = false;
        linkTarget = "";
        delayed.clear();
        contact = new VmIncarnation("vm-" + index, "zone-" + index % 3, incarnation, milliCores);
        core = new PoolCore(contact, 3, clockMs(), e -> world.perform(this, e));
        tick(life);
        world.pollStore(this, life);
    }

    void kill() {
        alive = false;
        life++;
    }

    boolean isCurrentStart(long value) {
        return alive && life == value;
    }

    long startNumber() {
        return life;
    }

    void freeze() {
        frozen = true;
        frozenAtMs = world.nowMs();
    }

    void thaw() {
        if (!frozen) {
            return;
        }
        clockLagMs += world.nowMs() - frozenAtMs;
        frozen = false;
        handle(new PoolEvent.PauseDetected());
        world.confirmLinks(this);
        while (!delayed.isEmpty() && alive) {
            handle(delayed.poll());
        }
    }

    long clockMs() {
        return world.nowMs() - clockLagMs;
    }

    private void tick(long ofLife) {
        if (isCurrentStart(ofLife)) {
            if (!frozen) {
                handle(new PoolEvent.Tick());
            }
            world.after(TICK_MS, () -> tick(ofLife));
        }
    }

    /** Delivers an event to the life that it was meant for. */
    void deliver(long ofLife, PoolEvent event) {
        if (!isCurrentStart(ofLife)) {
            return;
        }
        if (frozen) {
            delayed.add(event);
        } else {
            handle(event);
        }
    }

    private void handle(PoolEvent event) {
        core.handle(event, clockMs());
    }

    void appendLog(String line) {
        log.add(world.nowMs() + " vm-" + index + " " + line);
        if (log.size() > KEPT_LINES) {
            log.poll();
        }
    }

    boolean hasOwner() {
        return core.hasOwner();
    }

    boolean isOwner() {
        return core.isOwner();
    }
}
