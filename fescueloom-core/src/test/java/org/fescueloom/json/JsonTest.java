package org.fescueloom.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescueloom.config.Adjacency;
import org.fescueloom.config.GuaranteedShape;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JsonTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Property(tries = 100, seed = "1")
    void survivesARoundTrip(@ForAll int blocks, @ForAll int size, @ForAll Adjacency adjacency) {
        GuaranteedShape shape = new GuaranteedShape(blocks, size, adjacency);
        assertThat(Json.read(Json.write(shape), GuaranteedShape.class)).isEqualTo(shape);
    }

    @Nested
    class MalformedInput {
        @Test
        void rejectsUnknownFieldsInStrictMode() {
            byte[] text =
                    bytes("{\"blocks\":1,\"accelerators\":2,\"adjacency\":\"rack\",\"weight\":3}");
            assertThatThrownBy(() -> Json.readStrict(text, GuaranteedShape.class))
                    .isInstanceOfSatisfying(
                            SchedulerException.class,
                            e -> assertThat(e.type()).isEqualTo(FailureType.MALFORMED_INPUT));
            assertThat(Json.read(text, GuaranteedShape.class).blocks()).isEqualTo(1);
        }

        @Test
        void rejectsNullTrailingTextAndNullNumbers() {
            for (String text : new String[] {"null", "{} {}", "{\"blocks\":null}", "[", ""}) {
                assertThatThrownBy(() -> Json.readStrict(bytes(text), GuaranteedShape.class))
                        .isInstanceOf(SchedulerException.class);
            }
        }
    }
}
