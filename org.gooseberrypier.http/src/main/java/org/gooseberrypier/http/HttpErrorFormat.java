package org.gooseberrypier.http;

/** Formats the error replies that the server itself creates, such as 408, 413 and 431. */
@FunctionalInterface
public interface HttpErrorFormat {

    /**
     * Creates an error reply.
     *
     * @param status the HTTP status code
     * @param detail a readable description in one line
     * @return the reply
     */
    HttpReply format(int status, String detail);
}
