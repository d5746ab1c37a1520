package org.gooseberrypier.random;

/** A promise to the users was broken in a run. */
final class GuaranteeViolatedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    GuaranteeViolatedException(String message) {
        super(message);
    }
}
