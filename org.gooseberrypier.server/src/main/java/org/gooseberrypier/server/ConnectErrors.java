package org.gooseberrypier.server;

import java.net.ConnectException;

/** Classifies the errors of failed connection attempts. */
public final class ConnectErrors {

    private ConnectErrors() {}

    /**
     * Returns whether a connection was refused, that is, whether no process listens on the address.
     *
     * @param error the error of the connection attempt
     * @return {@code true} if the error or one of its causes is a refused connection
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
