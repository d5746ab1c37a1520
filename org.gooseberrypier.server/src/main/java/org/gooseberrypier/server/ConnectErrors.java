package org.gooseberrypier.server;

import java.net.ConnectException;

/** Tells why a connection could not be opened. */
public final class ConnectErrors {

    private ConnectErrors() {}

    /**
     * Returns whether nobody listens at an address.
     *
     * @param error what opening the connection failed with
     * @return whether the connection was refused
     */
    public static boolean isRefused(Throwable error) {
        for (Throwable t = error; t != null; t = t.getCause()) {
            if (t instanceof ConnectException
                    && t.getMessage() != null
                    && t.getMessage().contains("refused")) {
                return true;
            }
        }
        return false;
    }
}
