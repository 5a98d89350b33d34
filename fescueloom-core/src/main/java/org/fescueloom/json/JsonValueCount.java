package org.fescueloom.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Objects;

/** Counts the values of a JSON text without building a tree. */
public final class JsonValueCount {
    /** A value in valid JSON has at least 2 bytes, with its separator or its end. */
    private static final long MIN_BYTES_PER_VALUE = 2;

    /** Keeps no names of fields: a text can have a great many different ones. */
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .build();

    private JsonValueCount() {}

    /**
     * Checks whether a text has more values than a maximum. An object or a list counts as one value
     * in addition to the values that it contains. Does not parse a text that is too short to have
     * more values, so that usual texts cost nothing.
     *
     * @param text the text in UTF-8, not null; only the part before the first syntax error counts,
     *     because a parser reads no further
     * @param maxValues the maximum, positive
     * @return whether the text has more values
     */
    public static boolean exceeds(byte[] text, int maxValues) {
        Objects.requireNonNull(text, "text");
        if (maxValues <= 0) {
            throw new IllegalArgumentException("maxValues is not positive: " + maxValues);
        }
        if (text.length < MIN_BYTES_PER_VALUE * maxValues) {
            return false;
        }
        try (JsonParser parser = FACTORY.createParser(text)) {
            int values = 0;
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                boolean beginsValue = token.isStructStart() || token.isScalarValue();
                if (beginsValue && ++values > maxValues) {
                    return true;
                }
            }
            return false;
        } catch (IOException e) {
            return false;
        }
    }
}
