package org.gooseberrypier.standin.platform;

/** Thrown if a request is malformed or has a value out of range; answered with 400. */
final class BadRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
        super(message);
    }
}
