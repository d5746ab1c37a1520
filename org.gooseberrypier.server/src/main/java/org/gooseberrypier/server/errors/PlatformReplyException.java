package org.gooseberrypier.server.errors;

import java.io.IOException;

/** Thrown if a reply of the platform is an error or is malformed. */
public final class PlatformReplyException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong with the reply
     */
    public PlatformReplyException(String message) {
        super(message);
    }
}
