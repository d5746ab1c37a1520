package org.gooseberrypier.http;

import java.io.IOException;

/** Thrown if no complete reply was received after the write of the request began; the server may have processed it. */
public final class NoReplyException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the address and the cause
     */
    public NoReplyException(String message) {
        super(message);
    }
}
