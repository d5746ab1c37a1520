package org.gooseberrypier.server.caller;

import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.ZoneId;

/** Parses the idempotency key of a submission and the header fields that belong to it. */
final class KeyParser {

    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String TIME_HEADER = "Submission-Time";
    private static final String HOME_ZONE_HEADER = "Home-Zone";
    private static final String TIME_ALLOWED = "milliseconds since the epoch, not in the future";
    private static final int UUID_LENGTH_CHARS = 36;
    private static final int VERSION_TIME_ORDERED = 7;
    private static final int VARIANT_RFC = 2;
    private static final int BITS_BELOW_TIMESTAMP = 16;

    private KeyParser() {}

    static Optional<IdempotencyKey> ofSubmission(HttpCall call, long nowMs) throws RequestException {
        Optional<String> key = Headers.name(call, KEY_HEADER);
        if (key.isPresent()) {
            return Optional.of(key(key.get(), call, nowMs));
        }
        for (String name : List.of(TIME_HEADER, HOME_ZONE_HEADER)) {
            if (call.header(name).isPresent()) {
                throw new RequestException(name + ": only allowed together with " + KEY_HEADER);
            }
        }
        return Optional.empty();
    }

    static IdempotencyKey key(String value, HttpCall call, long nowMs) throws RequestException {
        Optional<Long> ofKey = timeOfUuid(value);
        Optional<Long> ofHeader =
                Headers.integer(call, TIME_HEADER, 0, nowMs + RequestRules.MAX_CLOCK_SKEW_MS, TIME_ALLOWED);
        if (ofKey.isPresent() && ofHeader.isPresent() && differBeyondSkew(ofKey.get(), ofHeader.get())) {
            throw RequestException.field(
                    TIME_HEADER, ofHeader.get(), "the time that the key holds, " + ofKey.get() + ", give or take 60 s");
        }
        if (ofKey.isPresent() && ofKey.get() > nowMs + RequestRules.MAX_CLOCK_SKEW_MS) {
            throw RequestException.field(KEY_HEADER, '"' + value + '"', "a UUIDv7 whose time is not in the future");
        }
        Optional<ZoneId> home = Headers.name(call, HOME_ZONE_HEADER).map(ZoneId::new);
        return new IdempotencyKey(value, ofHeader.or(() -> ofKey), home);
    }

    private static boolean differBeyondSkew(long a, long b) {
        return Math.abs(a - b) > RequestRules.MAX_CLOCK_SKEW_MS;
    }

    private static Optional<Long> timeOfUuid(String key) {
        if (key.length() != UUID_LENGTH_CHARS) {
            return Optional.empty();
        }
        try {
            UUID uuid = UUID.fromString(key);
            boolean timeOrdered = uuid.version() == VERSION_TIME_ORDERED && uuid.variant() == VARIANT_RFC;
            return timeOrdered ? Optional.of(uuid.getMostSignificantBits() >>> BITS_BELOW_TIMESTAMP) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
