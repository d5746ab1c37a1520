package org.gooseberrypier.lib;

import java.util.Objects;
import java.util.Optional;

/**
 * The idempotency key of a submission, with the hints that its caller sent.
 *
 * @param value the opaque key
 * @param submittedAtMs the time of the first submission, in milliseconds since the epoch by the caller's clock; present
 *     if the caller states it or the key is a UUIDv7
 * @param homeZone the availability zone that is responsible for the key, if the caller names one
 */
public record IdempotencyKey(String value, Optional<Long> submittedAtMs, Optional<ZoneId> homeZone) {

    /** Checks that no component is null. */
    public IdempotencyKey {
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(submittedAtMs, "submittedAtMs");
        Objects.requireNonNull(homeZone, "homeZone");
    }
}
