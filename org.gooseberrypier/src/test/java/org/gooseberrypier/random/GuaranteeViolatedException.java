package org.gooseberrypier.random;

/** Thrown when a run violates a guarantee that the system gives its users. */
final class GuaranteeViolatedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    GuaranteeViolatedException(String message) {
        super(message);
    }
}
