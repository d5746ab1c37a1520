package org.gooseberrypier.ticket;

/**
 * One validation error of a ticket.
 *
 * @param path the JSON path of the invalid value, as in {@code $.endpoints[3].slots}
 * @param message what is wrong and what is allowed, one line
 */
public record TicketProblem(String path, String message) {

    @Override
    public String toString() {
        return path + ": " + message;
    }
}
