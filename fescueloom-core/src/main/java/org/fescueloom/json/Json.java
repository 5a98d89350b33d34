package org.fescueloom.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Converts between records and JSON. */
public final class Json {
    private static final ObjectMapper STRICT = builder().build();
    private static final ObjectMapper LENIENT =
            builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private Json() {}

    private static JsonMapper.Builder builder() {
        return JsonMapper.builder()
                .serializationInclusion(JsonInclude.Include.NON_NULL)
                .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);
    }

    /**
     * Reads a value that a person or a caller wrote. Unknown fields are an error.
     *
     * @param <T> the type of the value
     * @param bytes the JSON text in UTF-8, not null
     * @param type the class of the value, not null
     * @return the value, never null
     * @throws SchedulerException with type {@code MALFORMED_INPUT} if the text cannot be read as a
     *     value of this type
     */
    public static <T> T readStrict(byte[] bytes, Class<T> type) {
        return read(STRICT, bytes, type);
    }

    /**
     * Reads a value that another process wrote. Unknown fields are ignored.
     *
     * @param <T> the type of the value
     * @param bytes the JSON text in UTF-8, not null
     * @param type the class of the value, not null
     * @return the value, never null
     * @throws SchedulerException with type {@code MALFORMED_INPUT} if the text cannot be read as a
     *     value of this type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        return read(LENIENT, bytes, type);
    }

    /**
     * Converts a tree to a value. Unknown fields are ignored.
     *
     * @param <T> the type of the value
     * @param tree the tree, not null
     * @param type the class of the value, not null
     * @return the value, never null
     * @throws SchedulerException with type {@code MALFORMED_INPUT} if the tree cannot be read as a
     *     value of this type
     */
    public static <T> T convert(JsonNode tree, Class<T> type) {
        try {
            return requireValue(LENIENT.treeToValue(tree, type), type);
        } catch (JsonProcessingException e) {
            throw malformed(type, e);
        }
    }

    /**
     * Converts a value to a tree.
     *
     * @param value the value, not null
     * @return the tree, never null
     */
    public static JsonNode tree(Object value) {
        return LENIENT.valueToTree(value);
    }

    /**
     * Writes a value as JSON text.
     *
     * @param value the value, not null
     * @return the text in UTF-8, never null
     * @throws IllegalArgumentException if the value cannot be converted to JSON
     */
    public static byte[] write(Object value) {
        try {
            return LENIENT.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be converted to JSON", e);
        }
    }

    private static <T> T read(ObjectMapper mapper, byte[] bytes, Class<T> type) {
        try {
            return requireValue(mapper.readValue(bytes, type), type);
        } catch (IOException e) {
            throw malformed(type, e);
        }
    }

    private static <T> T requireValue(T value, Class<T> type) {
        if (value == null) {
            throw new SchedulerException(
                    FailureType.MALFORMED_INPUT, type.getSimpleName() + " must not be null");
        }
        return value;
    }

    private static SchedulerException malformed(Class<?> type, IOException cause) {
        String reason =
                cause instanceof JsonProcessingException parse
                        ? parse.getOriginalMessage()
                        : cause.getMessage();
        return new SchedulerException(
                FailureType.MALFORMED_INPUT,
                type.getSimpleName() + " cannot be read: " + reason,
                0L,
                cause);
    }
}
