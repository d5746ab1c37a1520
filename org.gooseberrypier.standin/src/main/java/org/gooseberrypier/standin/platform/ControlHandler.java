package org.gooseberrypier.standin.platform;

import java.io.IOException;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberrypier.http.HttpCall;

/** Handles requests that set faults, expire records or truncate streams while the stand-in runs. */
final class ControlHandler {

    private final LogStore store;
    private final Supplier<Faults> current;
    private final Consumer<Faults> update;

    ControlHandler(LogStore store, Supplier<Faults> current, Consumer<Faults> update) {
        this.store = store;
        this.current = current;
        this.update = update;
    }

    void handle(HttpCall call, String action) throws BadRequestException {
        try {
            switch (action) {
                case "faults" -> setFaults(call);
                case "expire" -> {
                    JsonNode json = Replies.MAPPER.readTree(call.body());
                    store.expire(text(json, "stream"), number(json, "firstOffset"));
                    Replies.ok(call, Replies.MAPPER.createObjectNode());
                }
                case "rewind" -> {
                    JsonNode json = Replies.MAPPER.readTree(call.body());
                    store.rewind(text(json, "stream"), number(json, "nextOffset"));
                    Replies.ok(call, Replies.MAPPER.createObjectNode());
                }
                default -> Replies.error(call, Replies.NOT_FOUND, "faults, expire or rewind is expected");
            }
        } catch (IOException e) {
            throw new BadRequestException("the body cannot be used: " + e.getMessage());
        }
    }

    private void setFaults(HttpCall call) throws IOException {
        ObjectNode merged = Replies.MAPPER.valueToTree(current.get());

        JsonNode wanted = Replies.MAPPER.readTree(call.body());
        if (!wanted.isObject()) {
            throw new IOException("a JSON object is expected");
        }
        merged.setAll((ObjectNode) wanted);
        update.accept(Replies.MAPPER.treeToValue(merged, Faults.class));
        Replies.ok(call, Replies.MAPPER.valueToTree(current.get()));
    }

    private static String text(JsonNode json, String field) throws IOException {
        if (!json.path(field).isTextual()) {
            throw new IOException(field + " is missing");
        }
        return json.path(field).asText();
    }

    private static long number(JsonNode json, String field) throws IOException {
        if (!json.path(field).isIntegralNumber()) {
            throw new IOException(field + " is missing");
        }
        return json.path(field).asLong();
    }
}
