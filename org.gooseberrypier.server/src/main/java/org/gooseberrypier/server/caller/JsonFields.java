package org.gooseberrypier.server.caller;

import java.math.BigDecimal;
import java.util.Iterator;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads the fields of a JSON object and refuses unknown, missing or malformed ones. */
final class JsonFields {

    private final String path;
    private final JsonNode json;

    JsonFields(String path, JsonNode json, Set<String> allowed) throws RequestException {
        this.path = path;
        this.json = json;
        if (json == null || !json.isObject()) {
            throw RequestException.field(path.isEmpty() ? "body" : path, typeName(json), "a JSON object");
        }
        for (Iterator<String> names = json.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!allowed.contains(name)) {
                throw new RequestException(pathOf(name) + ": unknown field; allowed: "
                        + String.join(", ", new java.util.TreeSet<>(allowed)));
            }
        }
    }

    boolean has(String name) {
        return json.has(name);
    }

    JsonNode node(String name) {
        return json.get(name);
    }

    String name(String name) throws RequestException {
        String text = text(name, RequestRules.NAME_ALLOWED);
        if (!RequestRules.NAME.matcher(text).matches()) {
            throw RequestException.field(pathOf(name), '"' + text + '"', RequestRules.NAME_ALLOWED);
        }
        return text;
    }

    String text(String name, String allowed) throws RequestException {
        JsonNode value = json.get(name);
        if (value == null) {
            throw RequestException.missing(pathOf(name), allowed);
        }
        if (!value.isTextual()) {
            throw RequestException.field(pathOf(name), value, "a string: " + allowed);
        }
        return value.textValue();
    }

    long integer(String name, long min, long max) throws RequestException {
        JsonNode value = json.get(name);
        String allowed = "an integer from " + min + " to " + max;
        if (value == null) {
            throw RequestException.missing(pathOf(name), allowed);
        }
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= min
                && value.longValue() <= max;
        if (!valid) {
            throw RequestException.field(pathOf(name), value, allowed);
        }
        return value.longValue();
    }

    long integerOr(String name, long max, long defaultValue) throws RequestException {
        return json.has(name) ? integer(name, 0, max) : defaultValue;
    }

    int thousandthsOr(String name, int max, int defaultValue) throws RequestException {
        JsonNode value = json.get(name);
        if (value == null) {
            return defaultValue;
        }
        String allowed = "a number from 0 to " + max + " with at most 3 decimals";
        if (!value.isNumber()) {
            throw RequestException.field(pathOf(name), value, allowed);
        }
        BigDecimal amount = value.decimalValue();
        boolean inRange = amount.signum() >= 0 && amount.compareTo(BigDecimal.valueOf(max)) <= 0;
        if (!inRange || amount.stripTrailingZeros().scale() > 3) {
            throw RequestException.field(pathOf(name), value, allowed);
        }
        return amount.movePointRight(3).intValueExact();
    }

    boolean flagOr(String name, boolean defaultValue) throws RequestException {
        JsonNode value = json.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            throw RequestException.field(pathOf(name), value, "true or false");
        }
        return value.booleanValue();
    }

    String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String typeName(JsonNode json) {
        return json == null ? "nothing" : json.getNodeType().name().toLowerCase(java.util.Locale.ROOT);
    }
}
