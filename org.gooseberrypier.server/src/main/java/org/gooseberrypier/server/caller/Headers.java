package org.gooseberrypier.server.caller;

import java.util.List;
import java.util.Optional;

import org.gooseberrypier.http.HttpCall;

/** Parses header fields and refuses repeated or malformed ones. */
final class Headers {

    private Headers() {}

    static Optional<String> single(HttpCall call, String name) throws RequestException {
        List<String> values = call.headers(name);
        if (values.size() > 1) {
            throw new RequestException(name + ": given " + values.size() + " times; allowed: once");
        }
        return values.stream().findFirst();
    }

    static Optional<String> name(HttpCall call, String name) throws RequestException {
        Optional<String> value = single(call, name);
        if (value.isPresent() && !RequestRules.NAME.matcher(value.get()).matches()) {
            throw RequestException.field(name, '"' + value.get() + '"', RequestRules.NAME_ALLOWED);
        }
        return value;
    }

    static Optional<Long> integer(HttpCall call, String name, long min, long max, String allowed)
            throws RequestException {
        Optional<String> value = single(call, name);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        try {
            long number = Long.parseLong(value.get());
            if (number >= min && number <= max) {
                return Optional.of(number);
            }
        } catch (NumberFormatException e) {
            throw RequestException.field(name, '"' + value.get() + '"', allowed);
        }
        throw RequestException.field(name, '"' + value.get() + '"', allowed);
    }

    static boolean flag(HttpCall call, String name) throws RequestException {
        String value = single(call, name).orElse("false");
        if (!value.equals("true") && !value.equals("false")) {
            throw RequestException.field(name, '"' + value + '"', "true or false");
        }
        return value.equals("true");
    }
}
