package org.gooseberrypier.ticket;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.gooseberrypier.lib.Payload;

/**
 * A record with which an operator confirms that a ticket is in force at this offset of the stream, whatever records were
 * lost before it.
 *
 * <p>After the stream lost records or was rewound, it makes the VMs that have exactly this ticket in force process new
 * records again. It never changes a configuration. Its JSON is {@code {"resume":{"number":7,"uniqueId":"..."}}}.
 *
 * @param number the number of the ticket
 * @param uniqueId the unique id of the ticket
 */
public record ResumeRecord(long number, String uniqueId) {

    private static final byte[] PREFIX = Payload.of("{\"resume\":").bytes();

    /**
     * Returns whether a record of the ticket stream is meant as a resume record.
     *
     * @param data the record
     * @return whether it begins like the output of {@link #format}
     */
    public static boolean isResume(Payload data) {
        byte[] bytes = data.bytes();
        return bytes.length >= PREFIX.length && Arrays.equals(bytes, 0, PREFIX.length, PREFIX, 0, PREFIX.length);
    }

    /**
     * Parses a resume record.
     *
     * @param json JSON in UTF-8
     * @return the resume record, empty if the bytes are not one
     */
    public static Optional<ResumeRecord> parse(Payload json) {
        try {
            Envelope envelope = TicketCodec.MAPPER.readValue(json.bytes(), Envelope.class);
            return envelope == null ? Optional.empty() : Optional.ofNullable(envelope.resume());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Formats the record as JSON.
     *
     * @return JSON in UTF-8
     */
    public Payload format() {
        try {
            return Payload.wrap(TicketCodec.MAPPER.writeValueAsBytes(new Envelope(this)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot format a resume record as JSON", e);
        }
    }

    /**
     * Returns whether a configuration is the one that this record confirms.
     *
     * @param configuration the configuration
     * @return whether number and unique id are the same
     */
    public boolean matches(Configuration configuration) {
        return configuration.number() == number && configuration.uniqueId().equals(uniqueId);
    }

    private record Envelope(ResumeRecord resume) {}
}
