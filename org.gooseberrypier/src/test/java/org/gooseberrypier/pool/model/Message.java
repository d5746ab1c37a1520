package org.gooseberrypier.pool.model;

/**
 * A message between entry VM and owner, or an event in the ring of the entry VM.
 *
 * @param kind the kind
 * @param stream the stream on which it was sent
 * @param step the number that it carries, a time in steps or a count
 * @param left for how long a forwarded job is awaited at most, in steps
 */
record Message(Kind kind, int stream, int step, int left) {

    /** Kind of a message. */
    enum Kind {
        HELLO,
        WELCOME,
        CLOSED,
        FORWARD,
        WITHDRAW,
        ACKNOWLEDGEMENT,
        HEARTBEAT,
        FINISHED,
        NOT_OWNER,
        DISCONNECTED
    }

    Message(Kind kind, int stream, int step) {
        this(kind, stream, step, 0);
    }

    @Override
    public String toString() {
        return kind + "@" + stream + (step == 0 ? "" : ":" + step);
    }

    void appendTo(StringBuilder key) {
        key.append((char) (kind.ordinal() + 1))
                .append((char) (stream + 1))
                .append((char) (step + 100))
                .append((char) (left + 100));
    }
}
