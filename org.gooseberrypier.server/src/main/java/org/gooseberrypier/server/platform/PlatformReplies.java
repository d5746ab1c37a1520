package org.gooseberrypier.server.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.log.LogRecord;
import org.gooseberrypier.server.errors.PlatformReplyException;

/** Validates and parses the replies of the platform. */
final class PlatformReplies {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int MAX_VMS = 10_000;
    private static final int MAX_NAME_LENGTH = 64;

    private PlatformReplies() {}

    static long appendedOffset(HttpReply reply) throws IOException {
        return offset(body(reply), "offset");
    }

    static LogPage page(HttpReply reply, long from) throws IOException {
        JsonNode json = body(reply);
        long first = offset(json, "firstOffset");
        long next = offset(json, "nextOffset");
        if (next < first || !json.path("records").isArray()) {
            throw new PlatformReplyException(
                    "invalid page: firstOffset=" + first + " nextOffset=" + next + ", or records is not an array");
        }
        List<LogRecord> records = new ArrayList<>();
        long expected = Math.max(from, first);
        for (JsonNode r : json.path("records")) {
            records.add(record(r, expected));
            expected++;
        }
        if (!records.isEmpty() && expected > next) {
            throw new PlatformReplyException("records at or beyond nextOffset=" + next);
        }
        return new LogPage(first, next, records);
    }

    static VmListing vms(HttpReply reply) throws IOException {
        JsonNode json = body(reply);
        return new VmListing(names(json, "live"), names(json, "leaving"));
    }

    private static LogRecord record(JsonNode json, long expected) throws PlatformReplyException {
        long offset = offset(json, "offset");
        if (offset != expected) {
            throw new PlatformReplyException("record at offset " + offset + " where " + expected + " was expected");
        }
        if (!json.path("data").isTextual()) {
            throw new PlatformReplyException("record at offset " + offset + " has no text in data");
        }
        return new LogRecord(
                offset,
                offset(json, "appendedAtMs"),
                Payload.of(json.path("data").asText()));
    }

    private static Set<VmId> names(JsonNode json, String field) throws PlatformReplyException {
        JsonNode list = json.path(field);
        if (!list.isArray() || list.size() > MAX_VMS) {
            throw new PlatformReplyException(field + " is not an array of at most " + MAX_VMS + " names");
        }
        Set<VmId> names = new HashSet<>();
        for (JsonNode n : list) {
            String name = n.asText();
            if (!n.isTextual() || name.isBlank() || name.length() > MAX_NAME_LENGTH) {
                throw new PlatformReplyException(field + " contains a value that is not a valid VM name");
            }
            names.add(new VmId(name));
        }
        return names;
    }

    private static JsonNode body(HttpReply reply) throws IOException {
        if (reply.status() != OK) {
            throw new PlatformReplyException("unexpected HTTP status " + reply.status());
        }
        JsonNode json = MAPPER.readTree(reply.body());
        if (json == null || !json.isObject()) {
            throw new PlatformReplyException("body is not a JSON object");
        }
        return json;
    }

    private static long offset(JsonNode json, String field) throws PlatformReplyException {
        JsonNode value = json.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
            throw new PlatformReplyException(field + " is not a non-negative integer");
        }
        return value.asLong();
    }
}
