package org.gooseberrypier.http;

import java.io.IOException;

/** Thrown if a request failed before any byte of it was written; the server cannot have received it. */
public final class NotSentException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the address and the cause
     */
    public NotSentException(String message) {
        super(message);
    }
}
