package org.gooseberrypier.log;

/** The result of an append, as far as it is known. */
public sealed interface AppendResult {

    /**
     * The record is in the stream.
     *
     * @param offset its offset
     */
    record Appended(long offset) implements AppendResult {}

    /**
     * The append failed or was not answered; the record may or may not be in the stream.
     *
     * @param detail a one-line description
     */
    record Uncertain(String detail) implements AppendResult {}
}
