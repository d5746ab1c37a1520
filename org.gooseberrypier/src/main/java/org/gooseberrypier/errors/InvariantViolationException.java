package org.gooseberrypier.errors;

/** Thrown when an invariant of the core is violated; the process must stop. */
public final class InvariantViolationException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the invariant and the state that violates it
     */
    public InvariantViolationException(String message) {
        super(message);
    }
}
