package org.fescueloom.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.junit.jupiter.api.Test;

class JsonValueCountTest {
    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static int countValues(JsonNode tree) {
        int values = 1;
        for (JsonNode child : tree) {
            values += countValues(child);
        }
        return values;
    }

    @Test
    void allowsAsManyValuesAsTheMaximum() {
        byte[] text = utf8("[1,{\"a\":[],\"b\":\"x\"}]");

        assertThat(JsonValueCount.exceeds(text, 5)).isFalse();
        assertThat(JsonValueCount.exceeds(text, 4)).isTrue();
    }

    @Test
    void requiresAPositiveMaximum() {
        assertThatThrownBy(() -> JsonValueCount.exceeds(new byte[0], 0))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Provide
    Arbitrary<String> texts() {
        Arbitrary<String> parts =
                Arbitraries.of(
                        "{", "}", "[", "]", ",", ":", "\"a\"", "\"b\"", "0", "1.5", "true", "null",
                        "\"", "\\", " ", "\u0000", "é");
        return parts.list().ofMaxSize(40).map(list -> String.join("", list));
    }

    @Provide
    Arbitrary<String> validTexts() {
        return Arbitraries.recursive(
                () -> Arbitraries.of("0", "true", "null", "\"x\"", "[]", "{}"),
                inner ->
                        inner.list()
                                .ofMinSize(1)
                                .ofMaxSize(3)
                                .map(
                                        list ->
                                                list.size() == 1
                                                        ? "{\"a\":" + list.get(0) + '}'
                                                        : '[' + String.join(",", list) + ']'),
                0,
                3);
    }

    /** Guards against a limit that a valid text with too many values passes. */
    @Property(tries = 500)
    void countsAsTheTreeOfAValidTextDoes(
            @ForAll("validTexts") String text, @ForAll @IntRange(min = 1, max = 20) int maxValues) {
        int values = countValues(Json.read(utf8('[' + text + ']'), JsonNode.class));

        assertThat(JsonValueCount.exceeds(utf8('[' + text + ']'), maxValues))
                .isEqualTo(values > maxValues);
    }

    /** Guards against a scan that fails, or accepts a part of a text that cannot be read. */
    @Property(tries = 2_000)
    void neverFailsAndLeavesMalformedTextsToTheParser(
            @ForAll("texts") String text, @ForAll @IntRange(min = 1, max = 10) int maxValues) {
        byte[] bytes = utf8(text);
        boolean exceeds = JsonValueCount.exceeds(bytes, maxValues);
        try {
            JsonNode tree = Json.read(bytes, JsonNode.class);
            assertThat(exceeds).isEqualTo(countValues(tree) > maxValues);
        } catch (SchedulerException e) {
            assertThat(e.type()).isEqualTo(FailureType.MALFORMED_INPUT);
        }
    }

    @Property(tries = 2_000)
    void neverFailsOnAnyBytes(@ForAll byte[] bytes, @ForAll @IntRange(min = 1, max = 10) int max) {
        JsonValueCount.exceeds(bytes, max);
        try {
            Json.read(bytes, JsonNode.class);
        } catch (SchedulerException e) {
            assertThat(e.type()).isEqualTo(FailureType.MALFORMED_INPUT);
        }
    }
}
