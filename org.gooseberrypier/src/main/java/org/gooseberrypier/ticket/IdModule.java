package org.gooseberrypier.ticket;

import java.io.IOException;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;

/** Jackson module that reads and writes identifiers as plain JSON strings. */
final class IdModule extends SimpleModule {

    private static final long serialVersionUID = 1L;

    IdModule() {
        super("gooseberrypier-ids");
        register(VmId.class, VmId::new, VmId::name);
        register(ZoneId.class, ZoneId::new, ZoneId::name);
        register(TeamId.class, TeamId::new, TeamId::name);
        register(EndpointId.class, EndpointId::new, EndpointId::name);
        register(WorkId.class, WorkId::new, WorkId::name);
    }

    private <T> void register(Class<T> type, Function<String, T> parse, Function<T, String> format) {
        addSerializer(type, new IdSerializer<>(type, format));
        addDeserializer(type, new IdDeserializer<>(type, parse));
    }

    private static final class IdSerializer<T> extends StdScalarSerializer<T> {

        private static final long serialVersionUID = 1L;

        private final transient Function<T, String> format;

        IdSerializer(Class<T> type, Function<T, String> format) {
            super(type);
            this.format = format;
        }

        @Override
        public void serialize(T value, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeString(format.apply(value));
        }
    }

    private static final class IdDeserializer<T> extends StdScalarDeserializer<T> {

        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parse;

        IdDeserializer(Class<T> type, Function<String, T> parse) {
            super(type);
            this.parse = parse;
        }

        @Override
        public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
            String text = in.getValueAsString();
            if (text == null || text.isBlank()) {
                throw context.weirdStringException(text, handledType(), "a name is expected");
            }
            return parse.apply(text);
        }
    }
}
