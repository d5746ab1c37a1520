package org.gooseberrypier.pool.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.gooseberrypier.pool.model.Message.Kind;

/**
 * State of the model: a caller with one job of one task, its entry VM, the old owner (1) and the new owner (2) on the two sides of
 * a cut, with one endpoint each. The second submission is not modelled as a job: from the time at which the caller submits
 * again, the owner that gets it has a run at work.
 */
final class World {

    private static final int NEVER = -1;
    /** Time from the beginning of the cut until the new owner owns the rest, in steps. */
    private static final int TAKEOVER_STEPS = 6;

    private final Scenario scenario;
    private final Entry entry;
    private final Owner[] owners;
    private final Endpoint[] endpoints;
    private final List<List<Message>> toOwner = new ArrayList<>();
    private final List<List<Message>> toEntry = new ArrayList<>();
    private int now;
    private int faultsLeft;
    private int cutStep = NEVER;
    private int healStep = NEVER;
    private int leftStep = NEVER;
    private int stallToOwnerUntil;
    private int stallToEntryUntil;
    private int startDelay;
    private boolean stopLost;

    World(Scenario scenario) {
        this.scenario = scenario;
        faultsLeft = scenario.maxFaults();
        entry = new Entry(scenario.deadlineStep() + scenario.lateReadSteps());
        owners = new Owner[] {new Owner(), new Owner()};
        endpoints = new Endpoint[] {new Endpoint(), new Endpoint()};
        for (int i = 0; i < 2; i++) {
            toOwner.add(new ArrayList<>());
            toEntry.add(new ArrayList<>());
        }
        owners[0].active = true;
        List<Message> welcome = new ArrayList<>();
        owners[0].receive(new Message(Kind.HELLO, 1, 0), 0, scenario.rules(), welcome);
        int awaited = scenario.deadlineStep() + scenario.lateReadSteps();
        owners[0].receive(new Message(Kind.FORWARD, 1, 0, awaited), 0, scenario.rules(), welcome);
    }

    private World(World w) {
        scenario = w.scenario;
        entry = w.entry.copy();
        owners = new Owner[] {w.owners[0].copy(), w.owners[1].copy()};
        endpoints = new Endpoint[] {w.endpoints[0].copy(), w.endpoints[1].copy()};
        for (int i = 0; i < 2; i++) {
            toOwner.add(new ArrayList<>(w.toOwner.get(i)));
            toEntry.add(new ArrayList<>(w.toEntry.get(i)));
        }
        now = w.now;
        faultsLeft = w.faultsLeft;
        cutStep = w.cutStep;
        healStep = w.healStep;
        leftStep = w.leftStep;
        stallToOwnerUntil = w.stallToOwnerUntil;
        stallToEntryUntil = w.stallToEntryUntil;
        startDelay = w.startDelay;
        stopLost = w.stopLost;
    }

    boolean mayBeCut() {
        return cutStep == NEVER && now <= scenario.lastCutStep();
    }

    boolean mayHeal() {
        return scenario.heals() && isCut();
    }

    boolean isCut() {
        return cutStep != NEVER && healStep == NEVER;
    }

    /** Returns whether the caller may leave, and early enough to submit its job again within the steps. */
    boolean mayLeave() {
        return leftStep == NEVER && now + 1 + Scenario.RESUBMISSION_STEPS <= scenario.steps();
    }

    Set<Fault> possibleFaults() {
        return faultsLeft > 0 ? scenario.faults() : Set.of();
    }

    /** Returns the state one step later. */
    World after(Action action) {
        World w = new World(this);
        w.now++;
        w.apply(action);
        w.changeOwners();
        w.runEntry();
        w.runOwner(0);
        w.runOwner(1);
        for (Endpoint e : w.endpoints) {
            e.carryOut(w.now);
        }
        return w;
    }

    private void apply(Action a) {
        switch (a.kind()) {
            case CUT -> cutStep = now;
            case HEAL -> healStep = now;
            case LEAVE -> {
                leftStep = now;
                entry.ring.add(new Message(Kind.DISCONNECTED, 0, 0));
            }
            case FAULT -> begin(a.fault(), a.steps());
            default -> {}
        }
        if (leftStep == NEVER && now >= scenario.deadlineStep()) {
            leftStep = now;
        }
    }

    private void begin(Fault fault, int steps) {
        faultsLeft--;
        switch (fault) {
            case STREAM_LOST -> {
                if (entry.stream != 0) {
                    entry.lose(now);
                    loseTail(toOwner.get(entry.follows - 1), steps);
                }
            }
            case STALL_TO_OWNER -> stallToOwnerUntil = now + steps;
            case STALL_TO_ENTRY -> stallToEntryUntil = now + steps;
            case CORE_LATE -> entry.coreLateUntil = now + steps;
            case TICKS_SKIPPED -> entry.ticksSkippedUntil = now + steps;
            case START_LATE -> startDelay = steps;
            case STOP_LOST -> stopLost = true;
            case OWNER_FROZEN -> owners[entry.follows - 1].frozenUntil = now + steps;
            default -> leftStep = leftStep == NEVER ? now : leftStep;
        }
    }

    /** Loses what is still under way, except for the first messages. */
    private static void loseTail(List<Message> sent, int kept) {
        sent.subList(Math.min(kept, sent.size()), sent.size()).clear();
    }

    private boolean reaches(int owner) {
        return !isCut() || owner == (scenario.entryWithOldOwner() ? 1 : 2);
    }

    private void changeOwners() {
        if (isCut() && now >= cutStep + TAKEOVER_STEPS) {
            owners[1].active = true;
        }
        if (healStep != NEVER && now > healStep && owners[1].active && owners[0].active) {
            owners[0].end();
        }
        boolean earlierLost = !reaches(1) || !owners[0].active;
        if (entry.follows == 1 && owners[1].active && reaches(2) && earlierLost && now >= entry.coreLateUntil) {
            entry.follow(2, now, toOwner.get(0));
        }
    }

    private void runEntry() {
        for (int i = 0; i < 2; i++) {
            if (reaches(i + 1) && now >= stallToEntryUntil) {
                toEntry.get(i).forEach(m -> entry.read(m, now));
                toEntry.get(i).clear();
            }
        }
        List<Message> out = toOwner.get(entry.follows - 1);
        entry.keepStream(now, reaches(entry.follows), out);
        entry.runCore(now, scenario.rules(), out);
        if (entry.answered && leftStep == NEVER) {
            leftStep = now;
        }
    }

    private void runOwner(int i) {
        Owner o = owners[i];
        if (now < o.frozenUntil) {
            return;
        }
        if (o.frozenUntil > 0) {
            o.frozenUntil = 0;
            o.onPaused();
        }
        List<Message> out = toEntry.get(i);
        if (reaches(i + 1) && now >= stallToOwnerUntil) {
            toOwner.get(i).forEach(m -> o.receive(m, now, scenario.rules(), out));
            toOwner.get(i).clear();
            if (entry.follows == i + 1 && entry.stream != 0 && entry.stream == o.link) {
                o.onKeepAlive(now);
            }
        }
        o.tick(now, out);
        boolean room = i == 0 ? now >= scenario.firstRoomStep() : isCut() || !endpoints[0].isAtWork(now);
        o.order(now, room, stopLost, startDelay, endpoints[i]);
    }

    /** Returns how the property is broken, or an empty text. */
    String violation() {
        if (endpoints[0].isAtWork(now) && endpoints[1].isAtWork(now)) {
            return "runs of both owners are at work";
        }
        int second = leftStep + Scenario.RESUBMISSION_STEPS;
        boolean apart = cutStep != NEVER && second >= cutStep && (healStep == NEVER || second <= healStep);
        boolean submitted = leftStep != NEVER && now >= second && apart;
        if (submitted && endpoints[2 - scenario.secondOwner()].isAtWork(now)) {
            return "a run is at work beside that of the second submission, caller gone at step " + leftStep;
        }
        return "";
    }

    /** Returns whether no run of the first submission can be at work any more. */
    boolean isOver() {
        boolean forwarded = toOwner.stream().flatMap(List::stream).anyMatch(m -> m.kind() == Kind.FORWARD);
        return !entry.hasJob
                && !forwarded
                && owners[0].hasNothing()
                && owners[1].hasNothing()
                && endpoints[0].isFree(now)
                && endpoints[1].isFree(now);
    }

    /** Returns a text that is equal for equal states of one step. */
    String key() {
        StringBuilder key = new StringBuilder();
        int[] all = {
            faultsLeft,
            cutStep,
            healStep,
            leftStep,
            Math.max(now, stallToOwnerUntil),
            Math.max(now, stallToEntryUntil),
            startDelay,
            stopLost ? 1 : 0
        };
        for (int v : all) {
            key.append((char) (v + 1));
        }
        entry.appendTo(key, now);
        for (int i = 0; i < 2; i++) {
            owners[i].appendTo(key, now);
            endpoints[i].appendTo(key);
            toOwner.get(i).forEach(m -> m.appendTo(key));
            key.append('|');
            toEntry.get(i).forEach(m -> m.appendTo(key));
            key.append('|');
        }
        return key.toString();
    }

    @Override
    public String toString() {
        return String.format(
                "%2d entry %s owners %s %s work %b %b left %d under way %s %s",
                now,
                entry,
                owners[0],
                owners[1],
                endpoints[0].isAtWork(now),
                endpoints[1].isAtWork(now),
                leftStep,
                toOwner,
                toEntry);
    }
}
