package org.gooseberrypier.errors;

/** Thrown when a ticket or checkpoint cannot be parsed. */
public final class TicketFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the problem and where it occurs
     */
    public TicketFormatException(String message) {
        super(message);
    }

    /**
     * Creates the exception with its cause.
     *
     * @param message the problem and where it occurs
     * @param cause the error of the parser
     */
    public TicketFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
