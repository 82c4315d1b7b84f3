package org.quetzalscale.net.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.table.RowCodec;

/** Converts records to and from JSON text. */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .serializationInclusion(JsonInclude.Include.NON_NULL)
                    .build();

    private Json() {}

    /** The shared mapper; callers must not reconfigure it. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Writes a value as JSON text. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new QuetzalscaleException(
                    ErrorKind.INTERNAL, "cannot write " + value.getClass() + " as JSON", e);
        }
    }

    /** Writes a value as JSON in UTF-8. */
    public static byte[] writeBytes(Object value) {
        return write(value).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Reads a value from JSON in UTF-8.
     *
     * @throws QuetzalscaleException MALFORMED_REQUEST if the text is not valid JSON of this type
     */
    public static <T> T read(byte[] text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    /**
     * Reads a value from JSON text.
     *
     * @throws QuetzalscaleException MALFORMED_REQUEST if the text is not valid JSON of this type
     */
    public static <T> T read(String text, Class<T> type) {
        return read(text.getBytes(StandardCharsets.UTF_8), type);
    }

    /**
     * Reads JSON in UTF-8 as a tree.
     *
     * @throws QuetzalscaleException MALFORMED_REQUEST if the text is not valid JSON
     */
    public static JsonNode readTree(byte[] text) {
        return read(text, JsonNode.class);
    }

    /** Creates a row codec that stores values of the type as JSON. */
    public static <T> RowCodec<T> codec(Class<T> type) {
        return new RowCodec<>() {
            @Override
            public String encode(T value) {
                return write(value);
            }

            @Override
            public T decode(String text) {
                return read(text, type);
            }
        };
    }

    private static QuetzalscaleException malformed(IOException e) {
        String message =
                e instanceof JsonProcessingException json
                        ? json.getOriginalMessage()
                        : e.getMessage();
        return new QuetzalscaleException(
                ErrorKind.MALFORMED_REQUEST, "JSON cannot be read: " + message, e);
    }
}
