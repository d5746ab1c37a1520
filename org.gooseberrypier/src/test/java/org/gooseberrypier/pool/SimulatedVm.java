package org.gooseberrypier.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Simulated VM in virtual time; its steady clock stops or continues while it is frozen. */
final class SimulatedVm {

    private static final long TICK_INTERVAL_MS = 20;
    private static final int MAX_LOG_LINES = 4000;

    final int index;
    final Deque<String> log = new ArrayDeque<>();
    VmIncarnation contact;
    boolean alive;
    boolean frozen;
    String linkTarget = "";
    /** The number by which the core knows the link to the target. */
    long linkNumber;
    /** The link to the owner as this VM knows it, or null. */
    SimulatedLink link;

    /** The latest link whose loss this VM had not detected when the network failed, or null. */
    SimulatedLink fadingLink;

    /** The links that this VM has accepted and whose loss it has not noticed. */
    final Map<VmIncarnation, SimulatedLink> entryLinks = new HashMap<>();

    private final PoolSimulation simulation;
    int milliCores = 750;
    /** Until when the VM skips its ticks, as it does while its event loop counts as blocked, in milliseconds. */
    long ticksSkippedUntilMs;

    private final Deque<Runnable> delayed = new ArrayDeque<>();
    private PoolCore core;
    private long clockLagMs;
    private long frozenAtMs;
    private boolean clockStopped;
    private long startNumber;

    SimulatedVm(PoolSimulation simulation, int index) {
        this.simulation = simulation;
        this.index = index;
    }

    void start(long incarnation) {
        startNumber++;
        alive = true;
        frozen = false;
        link = null;
        fadingLink = null;
        entryLinks.clear();
        linkTarget = "";
        linkNumber = 0;
        delayed.clear();
        contact = new VmIncarnation("vm-" + index, "zone-" + index % 3, incarnation, milliCores);
        core = new PoolCore(contact, 3, clockMs(), e -> simulation.perform(this, e));
        tick(startNumber);
        simulation.pollStore(this, startNumber);
    }

    void kill() {
        alive = false;
        startNumber++;
    }

    boolean isCurrentStart(long value) {
        return alive && startNumber == value;
    }

    long startNumber() {
        return startNumber;
    }

    /** Suspends the VM, so that its steady clock stops as well. */
    void suspend() {
        freeze();
        clockStopped = true;
    }

    /** Stops the VM's process; the steady clock continues. */
    void freeze() {
        frozen = true;
        frozenAtMs = simulation.nowMs();
        clockStopped = false;
    }

    void thaw() {
        if (!frozen) {
            return;
        }
        frozen = false;
        if (clockStopped) {
            long pausedMs = simulation.nowMs() - frozenAtMs;
            clockLagMs += pausedMs;
            handle(new PoolEvent.PauseDetected(pausedMs));
        }
        while (!delayed.isEmpty() && alive) {
            delayed.poll().run();
        }
    }

    long clockMs() {
        return (frozen && clockStopped ? frozenAtMs : simulation.nowMs()) - clockLagMs;
    }

    private void tick(long ofStart) {
        if (isCurrentStart(ofStart)) {
            if (!frozen && simulation.nowMs() >= ticksSkippedUntilMs) {
                handle(new PoolEvent.Tick());
            }
            simulation.after(TICK_INTERVAL_MS, () -> tick(ofStart));
        }
    }

    /** Delivers an event unless the VM has been restarted or killed since the given start. */
    void deliver(long ofStart, PoolEvent event) {
        run(ofStart, () -> handle(event));
    }

    /** Runs an action of the VM in the order of its events, unless the VM has been restarted or killed since the given start. */
    void run(long ofStart, Runnable action) {
        if (!isCurrentStart(ofStart)) {
            return;
        }
        if (frozen) {
            delayed.add(action);
        } else {
            action.run();
        }
    }

    void handle(PoolEvent event) {
        core.handle(event, clockMs());
    }

    void appendLog(String line) {
        log.add(simulation.nowMs() + " vm-" + index + " " + line);
        if (log.size() > MAX_LOG_LINES) {
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
