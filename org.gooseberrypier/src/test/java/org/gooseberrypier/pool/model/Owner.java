package org.gooseberrypier.pool.model;

import java.util.List;

import org.gooseberrypier.pool.model.Message.Kind;

/** An owner with its view of one job, its entry VM's link and one endpoint. */
final class Owner implements Cloneable {

    private static final int NEVER = -50;
    private static final int SILENCE = 5;
    private static final int RECONNECT = 4;
    private static final int UNHEARD = 9;
    private static final int VALIDITY = 4;
    private static final int LEASE = 9;
    private static final int AFTER_AWAITED = 12;
    private static final int MIN_START = 3;
    private static final int EARLIER_RUNS = 16;

    boolean active;
    boolean hasJob;
    int link;
    int frozenUntil;

    private int heardAnything;
    private int acknowledged = NEVER;
    private int heard = NEVER;
    private int jobLink;
    private int forwarded = NEVER;
    private int lastHeard = NEVER;
    private int downSince = NEVER;
    private int resumed = NEVER;
    private int awaitedUntil = NEVER;
    private int endsBy;
    private boolean started;
    private boolean stopping;

    /** Handles a message; answers go on the stream that is up. */
    void receive(Message m, int now, Rules rules, List<Message> toEntry) {
        if (m.kind() == Kind.HELLO) {
            if (m.stream() > link) {
                markDown(now);
                link = m.stream();
                acknowledged = NEVER;
                heard = now;
                heardAnything = now;
                toEntry.add(new Message(Kind.WELCOME, link, 0));
            }
            return;
        }
        if (m.stream() != link) {
            return;
        }
        heardAnything = now;
        switch (m.kind()) {
            case CLOSED -> loseLink(now);
            case FORWARD -> {
                if (active) {
                    admit(m, now, rules);
                } else {
                    toEntry.add(new Message(Kind.NOT_OWNER, link, 0));
                }
            }
            case WITHDRAW -> {
                if (hasJob) {
                    awaitedUntil = Math.max(awaitedUntil, heardStep());
                    hasJob = false;
                }
            }
            case ACKNOWLEDGEMENT -> {
                acknowledged = Math.max(acknowledged, m.step());
                heard = Math.max(heard, m.step());
            }
            default -> throw new IllegalStateException(m.toString());
        }
    }

    private void admit(Message m, int now, Rules rules) {
        hasJob = true;
        jobLink = link;
        forwarded = rules.heardByHeartbeats() ? heard : now;
        downSince = NEVER;
        resumed = m.step() > 0 ? now : resumed;
        endsBy = rules.bounded() ? now + m.left() : Integer.MAX_VALUE / 1_000;
    }

    private void markDown(int now) {
        if (hasJob && downSince == NEVER) {
            lastHeard = heardStep();
            downSince = now;
        }
    }

    private void loseLink(int now) {
        markDown(now);
        link = 0;
    }

    private int heardStep() {
        boolean down = downSince != NEVER || jobLink != link;
        return Math.max(forwarded, down ? lastHeard : heard);
    }

    void onKeepAlive(int now) {
        heardAnything = now;
    }

    /** Runs the timers: silence, jobs of lost links, heartbeat. */
    void tick(int now, List<Message> toEntry) {
        if (link != 0 && now - heardAnything >= SILENCE) {
            loseLink(now);
        }
        if (hasJob && (downSince != NEVER && now - downSince > RECONNECT || now - heardStep() > UNHEARD)) {
            awaitedUntil = Math.max(awaitedUntil, heardStep());
            hasJob = false;
            if (link != 0) {
                toEntry.add(new Message(Kind.FINISHED, link, 0));
            }
        }
        if (link != 0) {
            toEntry.add(new Message(Kind.HEARTBEAT, link, now));
        }
    }

    /** Starts, renews and stops the run. */
    void order(int now, boolean room, boolean stopLost, int startDelay, Endpoint endpoint) {
        if (!hasJob && started) {
            stopping = true;
        }
        if (stopping && !stopLost) {
            endpoint.stop();
        }
        if (started && endpoint.isFree(now)) {
            started = false;
            stopping = false;
        }
        if (started) {
            int awaited = hasJob && !stopping ? Math.max(awaitedUntil, heardStep()) : awaitedUntil;
            endpoint.extend(now, Math.min(endsBy, Math.min(now + LEASE, awaited + AFTER_AWAITED)));
        } else if (mayStart(now) && room) {
            started = true;
            int until = Math.min(now + LEASE, heardStep() + AFTER_AWAITED);
            endpoint.start(now, Math.min(endsBy, until), startDelay);
        }
    }

    private boolean mayStart(int now) {
        boolean awaited =
                hasJob && downSince == NEVER && jobLink == link && now <= acknowledged + VALIDITY && now < endsBy;
        boolean known = resumed == NEVER || now - resumed >= EARLIER_RUNS;
        return active && awaited && known && heardStep() + AFTER_AWAITED - now >= MIN_START;
    }

    /** A freeze voids what was acknowledged before. */
    void onPaused() {
        acknowledged = NEVER;
    }

    boolean hasNothing() {
        return !hasJob && !started;
    }

    void end() {
        active = false;
        hasJob = false;
        started = false;
        stopping = false;
    }

    Owner copy() {
        try {
            return (Owner) clone();
        } catch (CloneNotSupportedException e) {
            throw new AssertionError(e);
        }
    }

    /** Appends what matters for the future, so that states that differ in nothing else are equal. */
    void appendTo(StringBuilder key, int now) {
        int flags = (active ? 1 : 0) + (hasJob ? 2 : 0) + (started ? 4 : 0) + (stopping ? 8 : 0);
        int[] all = {
            flags,
            link,
            Math.max(now, frozenUntil),
            Math.max(now - SILENCE, heardAnything),
            Math.max(now - VALIDITY - 1, acknowledged),
            Math.max(now - AFTER_AWAITED - 1, heard),
            hasJob ? jobLink : 0,
            hasJob ? forwarded : 0,
            hasJob ? lastHeard : 0,
            hasJob ? downSince : 0,
            hasJob ? Math.max(now - EARLIER_RUNS, resumed) : 0,
            hasJob || started ? awaitedUntil : 0,
            hasJob || started ? Math.min(endsBy, 1_000) : 0
        };
        for (int v : all) {
            key.append((char) (v + 100));
        }
    }

    @Override
    public String toString() {
        return "[job=" + hasJob + " link=" + link + " started=" + started + " ack=" + acknowledged + "]";
    }
}
