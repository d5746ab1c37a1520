package org.gooseberrypier.pool.model;

import java.util.ArrayList;
import java.util.List;

import org.gooseberrypier.pool.model.Message.Kind;

/**
 * An entry VM with one job: its event loop, which keeps one stream to an owner open, and its core, which handles what the loop
 * has read.
 */
final class Entry implements Cloneable {

    private static final int SILENCE = 5;

    boolean hasJob = true;
    int follows = 1;
    int stream = 1;
    int coreLateUntil;
    int ticksSkippedUntil;
    List<Message> ring = new ArrayList<>();
    /** Whether the last steps of the core have answered the caller. */
    boolean answered;

    private final int deadline;
    private int streams = 1;
    private int firstStream = 1;
    private int heardAnything;
    private int openStep;
    /** The stream that the core knows to be up, or 0. */
    private int upStream = 1;

    private int forwards = 1;

    Entry(int deadline) {
        this.deadline = deadline;
    }

    /** Reads a message of the owner on the loop. */
    void read(Message m, int now) {
        if (m.stream() == stream) {
            heardAnything = now;
            ring.add(m);
        }
    }

    /** Ends a stream that is silent and opens the next one. */
    void keepStream(int now, boolean reachable, List<Message> toOwner) {
        if (stream != 0 && now - heardAnything >= SILENCE) {
            close(now, toOwner);
        }
        if (stream == 0 && reachable && now >= openStep) {
            stream = ++streams;
            heardAnything = now;
            toOwner.add(new Message(Kind.HELLO, stream, 0));
        }
    }

    void close(int now, List<Message> toOwner) {
        if (stream != 0) {
            toOwner.add(new Message(Kind.CLOSED, stream, 0));
            lose(now);
        }
    }

    /** Loses the stream; the owner is not told. */
    void lose(int now) {
        ring.add(new Message(Kind.CLOSED, stream, 0));
        stream = 0;
        openStep = now + 1;
    }

    /** Goes to the next owner. */
    void follow(int owner, int now, List<Message> toEarlier) {
        close(now, toEarlier);
        follows = owner;
        firstStream = streams + 1;
        upStream = 0;
        openStep = now;
    }

    /** Handles the events of the ring; the tick comes after each of them. */
    void runCore(int now, Rules rules, List<Message> toOwner) {
        answered = false;
        if (now < coreLateUntil) {
            return;
        }
        for (Message m : ring) {
            handle(m, now, rules, toOwner);
            tick(now, rules, toOwner);
        }
        ring.clear();
        tick(now, rules, toOwner);
    }

    private void tick(int now, Rules rules, List<Message> toOwner) {
        if (now >= ticksSkippedUntil) {
            endOverdue(now, rules, toOwner);
        }
    }

    private void handle(Message m, int now, Rules rules, List<Message> toOwner) {
        if (m.kind() == Kind.DISCONNECTED) {
            endJob(rules, toOwner);
        } else if (m.stream() < firstStream) {
            return;
        } else if (m.kind() == Kind.WELCOME) {
            endOverdue(now, rules, toOwner);
            upStream = m.stream();
            if (hasJob) {
                send(new Message(Kind.FORWARD, 0, forwards, deadline - now), rules, toOwner);
                forwards++;
            }
        } else if (m.kind() == Kind.CLOSED || m.kind() == Kind.NOT_OWNER) {
            endOverdue(now, rules, toOwner);
            upStream = 0;
        } else if (upStream != 0 && m.kind() == Kind.FINISHED) {
            if (hasJob && rules.withdrawsAnswered()) {
                send(new Message(Kind.WITHDRAW, 0, 0), rules, toOwner);
            }
            answered |= hasJob;
            hasJob = false;
        } else if (upStream != 0 && m.kind() == Kind.HEARTBEAT) {
            if (rules.overdueFirst()) {
                endOverdue(now, rules, toOwner);
            }
            send(new Message(Kind.ACKNOWLEDGEMENT, 0, m.step()), rules, toOwner);
        }
    }

    private void endOverdue(int now, Rules rules, List<Message> toOwner) {
        if (hasJob && now >= deadline) {
            answered = true;
            endJob(rules, toOwner);
        }
    }

    private void endJob(Rules rules, List<Message> toOwner) {
        if (hasJob && upStream != 0) {
            send(new Message(Kind.WITHDRAW, 0, 0), rules, toOwner);
        }
        hasJob = false;
    }

    /** Sends on the stream that the loop has open, which may be a later one than the core knows. */
    private void send(Message m, Rules rules, List<Message> toOwner) {
        if (stream != 0 && (!rules.streamBound() || stream == upStream)) {
            toOwner.add(new Message(m.kind(), stream, m.step(), m.left()));
        }
    }

    Entry copy() {
        try {
            Entry copy = (Entry) clone();
            copy.ring = new ArrayList<>(ring);
            return copy;
        } catch (CloneNotSupportedException e) {
            throw new AssertionError(e);
        }
    }

    void appendTo(StringBuilder key, int now) {
        int[] all = {
            hasJob ? 1 : 0,
            follows,
            stream,
            Math.max(now, coreLateUntil),
            Math.max(now, ticksSkippedUntil),
            streams,
            firstStream,
            Math.max(now - SILENCE, heardAnything),
            Math.max(now, openStep),
            upStream,
            hasJob ? forwards : 0
        };
        for (int v : all) {
            key.append((char) (v + 100));
        }
        ring.forEach(m -> m.appendTo(key));
        key.append('|');
    }

    @Override
    public String toString() {
        return "[job=" + hasJob + " follows=" + follows + " stream=" + stream + " up=" + upStream + "]";
    }
}
