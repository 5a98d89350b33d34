package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** States what every log that jobs are kept in must do; each implementation has a subclass. */
public abstract class KeyedLogContract {
    /** The log that the tests use. */
    protected static final String TOPIC = "keyed.contract";

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Returns an empty log. */
    protected abstract KeyedLog log();

    private static KeyedRecord item(String key, String value) {
        return new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(KeyedRecord item) {
        return item.key() + '=' + new String(item.value(), StandardCharsets.UTF_8);
    }

    private AppendOutcome append(long expectedEnd, KeyedRecord... records) {
        return log().append(TOPIC, List.of(records), expectedEnd, TIMEOUT).join();
    }

    @Test
    void returnsRecordsInTheOrderOfTheirAppends() {
        append(KeyedLog.ANY_END, item("a", "1"), item("b", "2"));
        append(KeyedLog.ANY_END, item("a", "3"));

        KeyedSlice slice = log().read(TOPIC, 1, Duration.ZERO).join();

        assertThat(slice.records())
                .extracting(KeyedLogContract::text)
                .containsExactly("b=2", "a=3");
        assertThat(slice.endOffset()).isEqualTo(3);
    }

    @Test
    void appendsOnlyAtTheExpectedEnd() {
        assertThat(append(0, item("a", "1"), item("b", "2"))).isEqualTo(new AppendOutcome(true, 2));

        assertThat(append(0, item("c", "3"))).isEqualTo(new AppendOutcome(false, 2));
        assertThat(append(2, item("c", "3"))).isEqualTo(new AppendOutcome(true, 3));
        assertThat(log().read(TOPIC, 0, Duration.ZERO).join().records()).hasSize(3);
    }

    @Test
    void keepsTheNewestRecordOfEachKey() {
        append(KeyedLog.ANY_END, item("a", "1"), item("b", "2"), item("a", "3"));

        KeyedPage page = log().newest(TOPIC, "").join();

        assertThat(page.records())
                .extracting(KeyedLogContract::text)
                .containsExactlyInAnyOrder("a=3", "b=2");
        assertThat(page.endOffset()).isEqualTo(3);
        assertThat(page.hasMore()).isFalse();
    }

    @Test
    void dropsAKeyWithoutAValue() {
        append(KeyedLog.ANY_END, item("a", "1"), item("b", "2"));
        append(KeyedLog.ANY_END, item("a", ""));

        KeyedPage page = log().newest(TOPIC, "").join();

        assertThat(page.records()).extracting(KeyedLogContract::text).containsExactly("b=2");
    }

    @Test
    void returnsNothingBehindTheEnd() {
        append(KeyedLog.ANY_END, item("a", "1"));

        KeyedSlice slice = log().read(TOPIC, 1, Duration.ofMillis(20)).join();

        assertThat(slice.records()).isEmpty();
        assertThat(slice.endOffset()).isEqualTo(1);
        assertThat(slice.expired()).isFalse();
    }

    @Test
    void keepsAnyBytes() {
        byte[] bytes = new byte[300];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) i;
        }
        append(KeyedLog.ANY_END, new KeyedRecord("schlüssel", bytes));

        KeyedRecord read = log().read(TOPIC, 0, Duration.ZERO).join().records().get(0);

        assertThat(read.key()).isEqualTo("schlüssel");
        assertThat(read.value()).isEqualTo(bytes);
        assertThat(log().newest(TOPIC, "").join().records().get(0).value()).isEqualTo(bytes);
    }
}
