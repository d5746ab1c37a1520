package org.gooseberrypier.server.caller;

import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.ZoneId;

/** Parses the header fields that make a submission idempotent. */
final class KeyParser {

    private static final String KEY = "Idempotency-Key";
    private static final String TIME = "Submission-Time";
    private static final String HOME = "Home-Zone";
    private static final String TIME_ALLOWED = "milliseconds since the epoch, not in the future";
    private static final int UUID_CHARS = 36;
    private static final int TIME_ORDERED = 7;
    private static final int RFC_VARIANT = 2;
    private static final int RANDOM_BITS = 16;

    private KeyParser() {}

    static Optional<IdempotencyKey> ofSubmission(HttpCall call, long nowMs) throws RequestException {
        Optional<String> key = Headers.name(call, KEY);
        if (key.isPresent()) {
            return Optional.of(key(key.get(), call, nowMs));
        }
        for (String name : List.of(TIME, HOME)) {
            if (call.header(name).isPresent()) {
                throw new RequestException(name + ": only allowed together with " + KEY);
            }
        }
        return Optional.empty();
    }

    static IdempotencyKey key(String value, HttpCall call, long nowMs) throws RequestException {
        Optional<Long> ofKey = timeOf(value);
        Optional<Long> ofHeader = Headers.integer(call, TIME, 0, nowMs + RequestRules.MAX_CLOCK_SKEW_MS, TIME_ALLOWED);
        if (ofKey.isPresent() && ofHeader.isPresent() && differ(ofKey.get(), ofHeader.get())) {
            throw RequestException.field(
                    TIME, ofHeader.get(), "the time that the key holds, " + ofKey.get() + ", give or take 60 s");
        }
        if (ofKey.isPresent() && ofKey.get() > nowMs + RequestRules.MAX_CLOCK_SKEW_MS) {
            throw RequestException.field(KEY, '"' + value + '"', "a UUIDv7 whose time is not in the future");
        }
        Optional<ZoneId> home = Headers.name(call, HOME).map(ZoneId::new);
        return new IdempotencyKey(value, ofHeader.or(() -> ofKey), home);
    }

    private static boolean differ(long a, long b) {
        return Math.abs(a - b) > RequestRules.MAX_CLOCK_SKEW_MS;
    }

    private static Optional<Long> timeOf(String key) {
        if (key.length() != UUID_CHARS) {
            return Optional.empty();
        }
        try {
            UUID uuid = UUID.fromString(key);
            boolean timeOrdered = uuid.version() == TIME_ORDERED && uuid.variant() == RFC_VARIANT;
            return timeOrdered ? Optional.of(uuid.getMostSignificantBits() >>> RANDOM_BITS) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
