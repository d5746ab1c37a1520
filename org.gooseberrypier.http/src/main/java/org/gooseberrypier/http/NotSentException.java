package org.gooseberrypier.http;

import java.io.IOException;

/** Thrown if a request failed before any byte of it was written; the server cannot have received it. */
public final class NotSentException extends IOException {

    private static final long serialVersionUID = 1L;

    private final boolean refused;

    /**
     * Creates the exception.
     *
     * @param message the address and the cause
     * @param refused whether the server's machine refused the connection
     */
    public NotSentException(String message, boolean refused) {
        super(message);
        this.refused = refused;
    }

    /**
     * Returns whether the server's machine refused the connection, since nothing listens at the address.
     *
     * @return whether the connection was refused
     */
    public boolean isRefused() {
        return refused;
    }
}
