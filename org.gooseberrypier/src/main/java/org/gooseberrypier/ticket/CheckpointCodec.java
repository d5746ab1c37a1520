package org.gooseberrypier.ticket;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.lib.Payload;

/** Parses and formats checkpoints as JSON: {@code {"checkpoint":{...}}}. */
public final class CheckpointCodec {

    /** The maximum size of a checkpoint, in bytes: each of its sections came in the record of a ticket. */
    public static final int MAX_BYTES = 4 * TicketVerdict.MAX_RECORD_BYTES;

    private static final byte[] PREFIX = Payload.of("{\"checkpoint\":").bytes();

    private CheckpointCodec() {}

    /**
     * Returns whether a record of the ticket stream is meant as a checkpoint.
     *
     * @param data the record
     * @return whether it begins like the output of {@link #format}
     */
    public static boolean isCheckpoint(Payload data) {
        byte[] bytes = data.bytes();
        return bytes.length >= PREFIX.length && Arrays.equals(bytes, 0, PREFIX.length, PREFIX, 0, PREFIX.length);
    }

    /**
     * Parses a checkpoint.
     *
     * @param json JSON in UTF-8
     * @return the checkpoint
     * @throws TicketFormatException if the bytes are not a checkpoint
     */
    public static Checkpoint parse(Payload json) throws TicketFormatException {
        if (json.size() > MAX_BYTES) {
            throw new TicketFormatException(json.size() + " bytes, allowed are " + MAX_BYTES);
        }
        try {
            Envelope envelope = TicketCodec.MAPPER.readValue(json.bytes(), Envelope.class);
            if (envelope == null || envelope.checkpoint() == null) {
                throw new TicketFormatException("a checkpoint is a JSON object");
            }
            return envelope.checkpoint().toCheckpoint();
        } catch (JsonProcessingException e) {
            throw new TicketFormatException(e.getOriginalMessage(), e);
        } catch (IOException | NullPointerException e) {
            throw new TicketFormatException("not a checkpoint: " + e.getMessage(), e);
        }
    }

    /**
     * Formats a checkpoint as JSON.
     *
     * @param checkpoint the checkpoint
     * @return JSON in UTF-8
     */
    public static Payload format(Checkpoint checkpoint) {
        try {
            return Payload.wrap(TicketCodec.MAPPER.writeValueAsBytes(new Envelope(Document.of(checkpoint))));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot format a checkpoint as JSON", e);
        }
    }

    private record Envelope(Document checkpoint) {}

    private record Document(
            long throughOffset,
            @JsonInclude(JsonInclude.Include.NON_NULL) Long throughDigest,
            long number,
            String uniqueId,
            long offset,
            List<VmSpec> vms,
            List<EndpointSpec> endpoints,
            List<TeamSpec> teams,
            Limits limits,
            List<ZoneSet> zoneSets) {

        static Document of(Checkpoint checkpoint) {
            Configuration c = checkpoint.configuration();
            return new Document(
                    checkpoint.throughOffset(),
                    checkpoint.throughDigest() == RecordDigests.UNKNOWN ? null : checkpoint.throughDigest(),
                    c.number(),
                    c.uniqueId(),
                    c.offset(),
                    new ArrayList<>(c.vms().values()),
                    new ArrayList<>(c.endpoints().values()),
                    new ArrayList<>(c.teams().values()),
                    c.limits(),
                    c.zoneSets());
        }

        Checkpoint toCheckpoint() throws TicketFormatException {
            if (number < 1 || offset < 0 || uniqueId == null || limits == null) {
                throw new TicketFormatException("a checkpoint holds a ticket in force and all limits");
            }
            if (throughOffset != -1 && throughOffset < offset) {
                throw new TicketFormatException("a checkpoint covers the record of its ticket");
            }
            Configuration configuration = new Configuration(
                    number,
                    uniqueId,
                    offset,
                    index(vms, VmSpec::id),
                    index(endpoints, EndpointSpec::id),
                    index(teams, TeamSpec::id),
                    limits,
                    zoneSets);
            long digest = throughDigest == null ? RecordDigests.UNKNOWN : throughDigest;
            return new Checkpoint(throughOffset, digest, configuration);
        }

        private static <K, V> Map<K, V> index(List<V> specs, Function<V, K> id) {
            Map<K, V> map = new LinkedHashMap<>();
            for (V s : specs) {
                map.put(id.apply(s), s);
            }
            return java.util.Collections.unmodifiableMap(map);
        }
    }
}
