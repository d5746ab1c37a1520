package org.gooseberrypier.ticket;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.gooseberrypier.errors.TicketFormatException;
import org.gooseberrypier.lib.Payload;

/** Parses and formats tickets as JSON; parsing is strict. */
public final class TicketCodec {

    private static final String NULL_PRIMITIVE = "Cannot map `null` into type";

    static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .addModule(new IdModule())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();

    private TicketCodec() {}

    /**
     * Parses a ticket.
     *
     * @param json the ticket as JSON in UTF-8
     * @return the ticket
     * @throws TicketFormatException if the bytes are not a ticket
     */
    public static Ticket parse(Payload json) throws TicketFormatException {
        try {
            Ticket ticket = MAPPER.readValue(json.bytes(), Ticket.class);
            if (ticket == null) {
                throw new TicketFormatException("a ticket is a JSON object");
            }
            return ticket;
        } catch (UnrecognizedPropertyException e) {
            String message = "unknown field, allowed are " + new TreeSet<>(names(e.getKnownPropertyIds()));
            throw new TicketFormatException(path(e) + ": " + message, e);
        } catch (JsonMappingException e) {
            throw new TicketFormatException(path(e) + ": " + describe(e), e);
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            String where = at == null ? "" : "line " + at.getLineNr() + " column " + at.getColumnNr() + ": ";
            throw new TicketFormatException("$: not JSON: " + where + firstLine(e.getOriginalMessage()), e);
        } catch (IOException e) {
            throw new TicketFormatException(firstLine(e.getMessage()), e);
        }
    }

    /**
     * Formats a ticket as JSON.
     *
     * @param ticket the ticket
     * @return JSON in UTF-8
     */
    public static Payload format(Ticket ticket) {
        try {
            return Payload.wrap(MAPPER.writeValueAsBytes(ticket));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot format a ticket as JSON", e);
        }
    }

    private static String describe(JsonMappingException e) {
        if (e instanceof ValueInstantiationException && e.getCause() instanceof NullPointerException missing) {
            return "field \"" + missing.getMessage() + "\" is missing";
        }
        String message = firstLine(e.getOriginalMessage());
        return message.startsWith(NULL_PRIMITIVE) ? "a value is missing" : message;
    }

    private static String path(JsonMappingException e) {
        StringBuilder path = new StringBuilder("$");
        for (JsonMappingException.Reference r : e.getPath()) {
            if (r.getIndex() >= 0) {
                path.append('[').append(r.getIndex()).append(']');
            } else {
                path.append('.').append(r.getFieldName());
            }
        }
        return path.toString();
    }

    private static List<String> names(Collection<Object> ids) {
        return ids == null ? List.of() : ids.stream().map(String::valueOf).toList();
    }

    private static String firstLine(String message) {
        return message == null ? "unreadable" : message.lines().findFirst().orElse("unreadable");
    }
}
