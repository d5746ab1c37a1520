package org.gooseberrypier.internal.membership;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.gooseberrypier.lib.Payload;

/** Encodes and decodes view records as JSON. */
final class ViewRecordCodec {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();

    private ViewRecordCodec() {}

    /** Returns the record, empty if the bytes are not a valid record; the result depends on the bytes only. */
    static Optional<ViewRecord> parse(Payload json) {
        try {
            return Optional.ofNullable(MAPPER.readValue(json.bytes(), ViewRecord.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    static Payload format(ViewRecord view) {
        try {
            return Payload.wrap(MAPPER.writeValueAsBytes(view));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode a view record as JSON", e);
        }
    }
}
