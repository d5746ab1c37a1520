package org.gooseberrypier.standin.platform;

import java.util.List;

import io.netty.handler.codec.http.QueryStringDecoder;

/** The path and the query of a request. */
final class RequestTarget {

    private final QueryStringDecoder target;

    RequestTarget(String target) {
        this.target = new QueryStringDecoder(target);
    }

    String path() {
        return target.path();
    }

    long longParameter(String name, long missing, long min, long max) throws BadRequestException {
        List<String> values = target.parameters().get(name);
        if (values == null) {
            return missing;
        }
        try {
            long value = Long.parseLong(values.get(0));
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below like a number that is out of range.
        }
        throw new BadRequestException(
                name + "=" + values.get(0) + ": a whole number from " + min + " to " + max + " is expected");
    }
}
