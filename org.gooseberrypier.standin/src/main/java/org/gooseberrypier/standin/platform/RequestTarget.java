package org.gooseberrypier.standin.platform;

import java.util.List;

import io.netty.handler.codec.http.QueryStringDecoder;

/** Parses the path and the query parameters of a request target. */
final class RequestTarget {

    private final QueryStringDecoder decoder;

    RequestTarget(String target) {
        this.decoder = new QueryStringDecoder(target);
    }

    String path() {
        return decoder.path();
    }

    /**
     * Returns a query parameter as a whole number.
     *
     * @param name the name of the parameter
     * @param defaultValue the value if the parameter is missing
     * @param min the lowest value allowed
     * @param max the highest value allowed
     * @return the value
     * @throws BadRequestException if the parameter is not a whole number within the bounds
     */
    long longParameter(String name, long defaultValue, long min, long max) throws BadRequestException {
        List<String> values = decoder.parameters().get(name);
        if (values == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(values.get(0));
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Handled below like a number that is out of range.
        }
        throw new BadRequestException(
                name + "=" + values.get(0) + ": a whole number from " + min + " to " + max + " is expected");
    }
}
