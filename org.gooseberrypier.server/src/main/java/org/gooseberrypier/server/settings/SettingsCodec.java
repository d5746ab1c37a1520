package org.gooseberrypier.server.settings;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import org.gooseberrypier.http.HostPort;

/** Parses and formats settings as JSON; validates against the JSON schema, which also defines the defaults. */
final class SettingsCodec {

    private static final String SCHEMA_RESOURCE = "settings-schema.json";
    private static final List<String> ADDRESSES =
            List.of("callerAddress", "operatorAddress", "peerAddress", "platformAddress");

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(SerializationFeature.INDENT_OUTPUT)
            .build();
    private static final JsonNode SCHEMA_JSON = readSchema();
    private static final Schema SCHEMA = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
            .getSchema(SCHEMA_JSON);

    private SettingsCodec() {}

    static Settings parse(byte[] json) throws SettingsException {
        try {
            return parse(MAPPER.readTree(json));
        } catch (SettingsException e) {
            throw e;
        } catch (IOException e) {
            throw new SettingsException(List.of("not JSON: " + e.getMessage()));
        }
    }

    static Settings parse(JsonNode json) throws SettingsException {
        List<String> errors = new ArrayList<>();
        for (Error e : SCHEMA.validate(json)) {
            errors.add(describe(e));
        }
        if (errors.isEmpty()) {
            checkAddresses(json, errors);
            checkWaitingEvents(json, errors);
        }
        if (!errors.isEmpty()) {
            throw new SettingsException(errors);
        }
        ObjectNode complete = json.deepCopy();
        addDefaults(complete, SCHEMA_JSON);
        return MAPPER.convertValue(complete, Settings.class);
    }

    static String format(Settings settings) {
        try {
            return MAPPER.writeValueAsString(settings);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("settings cannot be formatted as JSON", e);
        }
    }

    private static void addDefaults(ObjectNode json, JsonNode schema) {
        schema.path("properties").fields().forEachRemaining(p -> {
            JsonNode property = resolve(p.getValue());
            if (property.has("properties")) {
                addDefaults(json.withObject("/" + p.getKey()), property);
            } else if (!json.has(p.getKey()) && property.has("default")) {
                json.set(p.getKey(), property.get("default"));
            }
        });
    }

    private static JsonNode resolve(JsonNode property) {
        JsonNode reference = property.get("$ref");
        return reference == null
                ? property
                : SCHEMA_JSON.at(reference.textValue().substring(1));
    }

    private static String describe(Error error) {
        String setting = error.getInstanceLocation().toString();
        JsonNode value = error.getInstanceNode();
        String shown = value == null || value.isContainerNode() ? "" : " " + value;
        String where = setting.isEmpty() || setting.equals("/") ? "settings" : setting;
        return where + shown + ": " + error.getMessage();
    }

    private static void checkAddresses(JsonNode json, List<String> errors) {
        for (String name : ADDRESSES) {
            try {
                HostPort.parse(json.path(name).textValue());
            } catch (IllegalArgumentException e) {
                errors.add("/" + name + " " + json.path(name) + ": must be an IP address and a port, "
                        + "such as 10.0.0.1:8080 or [::1]:8080");
            }
        }
    }

    private static void checkWaitingEvents(JsonNode json, List<String> errors) {
        JsonNode value = json.at("/core/maxWaitingEvents");
        if (value.isInt() && Integer.bitCount(value.intValue()) != 1) {
            errors.add("/core/maxWaitingEvents " + value + ": a power of two is allowed");
        }
    }

    private static JsonNode readSchema() {
        try (InputStream in = SettingsCodec.class.getResourceAsStream(SCHEMA_RESOURCE)) {
            return MAPPER.readTree(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
