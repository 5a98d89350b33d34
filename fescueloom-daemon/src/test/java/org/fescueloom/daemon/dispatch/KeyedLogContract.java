package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Specifies the behavior that every implementation of a keyed log must have; each implementation
 * has a subclass.
 */
public abstract class KeyedLogContract {
    /** The name of the keyed log that the tests use. */
    protected static final LogPartition PARTITION = new LogPartition("keyed.contract", 0);

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Returns the log under test, which is empty when a test starts. */
    protected abstract KeyedLog log();

    private static KeyedRecord keyedRecord(String key, String value) {
        return new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(KeyedRecord keyedRecord) {
        return keyedRecord.key() + '=' + new String(keyedRecord.value(), StandardCharsets.UTF_8);
    }

    private AppendOutcome append(long expectedEnd, KeyedRecord... records) {
        return log().append(PARTITION, List.of(records), expectedEnd, TIMEOUT).join();
    }

    @Test
    void returnsRecordsInTheOrderOfTheirAppends() {
        append(KeyedLog.ANY_END, keyedRecord("a", "1"), keyedRecord("b", "2"));
        append(KeyedLog.ANY_END, keyedRecord("a", "3"));

        KeyedSlice slice = log().read(PARTITION, 1, Duration.ZERO).join();

        assertThat(slice.records())
                .extracting(KeyedLogContract::text)
                .containsExactly("b=2", "a=3");
        assertThat(slice.endOffset()).isEqualTo(3);
    }

    @Test
    void appendsOnlyAtTheExpectedEnd() {
        assertThat(append(0, keyedRecord("a", "1"), keyedRecord("b", "2")))
                .isEqualTo(new AppendOutcome(true, 2));

        assertThat(append(0, keyedRecord("c", "3"))).isEqualTo(new AppendOutcome(false, 2));
        assertThat(append(2, keyedRecord("c", "3"))).isEqualTo(new AppendOutcome(true, 3));
        assertThat(log().read(PARTITION, 0, Duration.ZERO).join().records()).hasSize(3);
    }

    @Test
    void keepsTheNewestRecordOfEachKey() {
        append(
                KeyedLog.ANY_END,
                keyedRecord("a", "1"),
                keyedRecord("b", "2"),
                keyedRecord("a", "3"));

        KeyedPage page = log().newest(PARTITION, "").join();

        assertThat(page.records())
                .extracting(KeyedLogContract::text)
                .containsExactlyInAnyOrder("a=3", "b=2");
        assertThat(page.endOffset()).isEqualTo(3);
        assertThat(page.hasMore()).isFalse();
    }

    @Test
    void dropsAKeyAfterATombstone() {
        append(KeyedLog.ANY_END, keyedRecord("a", "1"), keyedRecord("b", "2"));
        append(KeyedLog.ANY_END, keyedRecord("a", ""));

        KeyedPage page = log().newest(PARTITION, "").join();

        assertThat(page.records()).extracting(KeyedLogContract::text).containsExactly("b=2");
    }

    @Test
    void returnsNothingBeyondTheEnd() {
        append(KeyedLog.ANY_END, keyedRecord("a", "1"));

        KeyedSlice slice = log().read(PARTITION, 1, Duration.ofMillis(20)).join();

        assertThat(slice.records()).isEmpty();
        assertThat(slice.endOffset()).isEqualTo(1);
        assertThat(slice.expired()).isFalse();
    }

    @Test
    void keepsArbitraryBytes() {
        byte[] bytes = new byte[300];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) i;
        }
        append(KeyedLog.ANY_END, new KeyedRecord("schlüssel", bytes));

        KeyedRecord read = log().read(PARTITION, 0, Duration.ZERO).join().records().get(0);

        assertThat(read.key()).isEqualTo("schlüssel");
        assertThat(read.value()).isEqualTo(bytes);
        assertThat(log().newest(PARTITION, "").join().records().get(0).value()).isEqualTo(bytes);
    }

    /** Guards against incident 45: the number of the partition was not sent, but always 0. */
    @Test
    void keepsPartitionsApart() {
        LogPartition other = new LogPartition(PARTITION.topic(), 3);
        log().append(other, List.of(new KeyedRecord("k", new byte[] {1})), 0, TIMEOUT).join();

        assertThat(log().newest(other, "").join().records()).hasSize(1);
        assertThat(log().read(other, 0, Duration.ZERO).join().records()).hasSize(1);
        assertThat(log().newest(PARTITION, "").join().records()).isEmpty();
        assertThat(log().read(PARTITION, 0, Duration.ZERO).join().endOffset()).isZero();
    }
}
