package org.gooseberrypier.lib;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** An immutable sequence of bytes: the body of a task, a request or a log record. */
public final class Payload {

    /** The empty payload. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps an array without copying it.
     *
     * @param bytes the bytes, which must not be changed afterwards
     * @return the payload
     */
    public static Payload wrap(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Payload(bytes);
    }

    /**
     * Encodes a text in UTF-8.
     *
     * @param text the text
     * @return the payload
     */
    public static Payload of(String text) {
        return wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the bytes without copying them; they must not be changed.
     *
     * @return the bytes
     */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the size.
     *
     * @return the size in bytes
     */
    public int size() {
        return bytes.length;
    }

    /**
     * Decodes the bytes as UTF-8.
     *
     * @return the text
     */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload p && Arrays.equals(bytes, p.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Payload[" + bytes.length + " bytes]";
    }
}
