package org.fescueloom.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fescueloom.json.Json;
import org.fescueloom.log.LogRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationFoldTest {
    private FakeLog log = new FakeLog();

    /** Names a document so that two changes can be told apart. */
    static ConfigurationDocument document(String name) {
        ServiceClass c = new ServiceClass(name, 1_000, 1, 1_024);
        return new ConfigurationDocument(List.of(c), null, null);
    }

    private static String name(ConfigurationFold history) {
        return history.document().classes().isEmpty()
                ? ""
                : history.document().classes().get(0).name();
    }

    private void change(String id, long base, String name) {
        log.append(id, ConfigurationRecord.change(base, document(name), "w").payload());
    }

    private void snapshot(String id, ConfigurationFold of) {
        log.append(
                id,
                ConfigurationRecord.snapshot(of.version(), of.nextOffset(), of.document(), "w")
                        .payload());
    }

    private ConfigurationFold read() {
        ConfigurationFold history = new ConfigurationFold();
        log.read(history, Integer.MAX_VALUE);
        return history;
    }

    /** Keeps records in order, may forget the oldest. */
    static final class FakeLog {
        private final List<LogRecord> records = new ArrayList<>();
        private int first;

        void append(String id, JsonNode payload) {
            records.add(new LogRecord(records.size(), records.size() * 10L, id, payload));
        }

        void read(ConfigurationFold reader, int atMost) {
            reader.skipTo(first);
            int end = (int) Math.min(records.size(), reader.nextOffset() + (long) atMost);
            for (int i = (int) reader.nextOffset(); i < end; i++) {
                reader.apply(records.get(i));
            }
        }
    }

    @Nested
    class Changes {
        @Test
        void letsOneOfTwoOperatorsWinAndTellsTheOther() {
            change("a", -1, "first");
            change("b", 0, "left");
            change("c", 0, "right");
            ConfigurationFold history = read();
            assertThat(history.version()).isEqualTo(1);
            assertThat(name(history)).isEqualTo("left");
            assertThat(history.verdict("b")).contains(RecordVerdict.ACCEPTED);
            assertThat(history.verdict("c")).contains(RecordVerdict.CONFLICT);
        }

        @Test
        void ignoresTheRepeatOfAnAppendWhoseAnswerWasLost() {
            change("a", -1, "first");
            change("a", -1, "first");
            change("b", 0, "second");
            change("a", -1, "first");
            ConfigurationFold history = read();
            assertThat(name(history)).isEqualTo("second");
            assertThat(history.verdict("a")).contains(RecordVerdict.ACCEPTED);
            assertThat(history.count(RecordVerdict.REPEATED)).isEqualTo(2);
        }

        @Test
        void refusesABaseThatDoesNotExistYet() {
            change("a", 2, "future");
            change("b", -1, "first");
            change("c", 2, "future");
            assertThat(name(read())).isEqualTo("first");
        }
    }

    @Nested
    class UnreadableRecords {
        @Test
        void skipsAndCountsThem() {
            change("a", -1, "first");
            log.append("x", JsonNodeFactory.instance.nullNode());
            log.append("y", Json.tree(List.of("no record")));
            log.append("z", JsonNodeFactory.instance.objectNode().put("format", 1).put("base", 0));
            log.append("f", JsonNodeFactory.instance.objectNode().put("format", 2));
            change("b", 0, "second");
            ConfigurationFold history = read();
            assertThat(name(history)).isEqualTo("second");
            assertThat(history.count(RecordVerdict.CORRUPT)).isEqualTo(3);
            assertThat(history.count(RecordVerdict.UNKNOWN_FORMAT)).isEqualTo(1);
        }
    }

    @Nested
    class Expiry {
        @Test
        void keepsTheVersionOfASnapshot() {
            change("a", -1, "first");
            change("b", 0, "second");
            snapshot("s", read());
            log.first = 2;
            ConfigurationFold fresh = read();
            assertThat(fresh.isComplete()).isTrue();
            assertThat(fresh.version()).isEqualTo(1);
            assertThat(name(fresh)).isEqualTo("second");
        }

        @Test
        void countsAChangeThatTheWriterOfTheSnapshotHadNotSeen() {
            change("a", -1, "first");
            ConfigurationFold stale = read();
            change("b", 0, "second");
            snapshot("s", stale);
            change("c", 1, "third");
            ConfigurationFold full = read();
            log.first = 1;
            ConfigurationFold fresh = read();
            assertThat(fresh.version()).isEqualTo(full.version()).isEqualTo(3);
        }

        @Test
        void waitsForASnapshotThatCoversWhatExpired() {
            change("a", -1, "first");
            ConfigurationFold stale = read();
            change("b", 0, "second");
            snapshot("s", stale);
            log.first = 2;
            ConfigurationFold fresh = read();
            assertThat(fresh.isComplete()).isFalse();
            assertThat(fresh.version()).isEqualTo(-1);
            assertThat(fresh.adopt(2, 1, document("second"))).isTrue();
            assertThat(fresh.version()).isEqualTo(1);
        }

        @Test
        void keepsWhatItHadWhenRecordsExpireUnread() {
            change("a", -1, "first");
            ConfigurationFold slow = read();
            change("b", 0, "second");
            ConfigurationFold full = read();
            log.first = 2;
            log.read(slow, 100);
            assertThat(name(slow)).isEqualTo("first");
            snapshot("s", full);
            log.read(slow, 100);
            assertThat(name(slow)).isEqualTo("second");
        }
    }

    @Property(tries = 300, seed = "42")
    void givesOneHistoryUnderAnyInterleaving(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int readerCount) {
        log = new FakeLog();
        Random random = new Random(seed);
        List<ConfigurationFold> readers = new ArrayList<>();
        long[] seen = new long[readerCount];
        for (int i = 0; i < readerCount; i++) {
            readers.add(new ConfigurationFold());
            seen[i] = -1;
        }
        ConfigurationFold reference = new ConfigurationFold();
        for (int step = 0; step < 120; step++) {
            int i = random.nextInt(readerCount);
            act(random, readers, i, step);
            log.read(reference, Integer.MAX_VALUE);
            ConfigurationFold reader = readers.get(i);
            assertThat(reader.version()).isGreaterThanOrEqualTo(seen[i]);
            seen[i] = reader.version();
            if (reader.isComplete() && reader.nextOffset() == reference.nextOffset()) {
                assertThat(reader.version()).isEqualTo(reference.version());
                assertThat(reader.document()).isEqualTo(reference.document());
            }
        }
        assertThat(reference.isComplete()).isTrue();
        assertThat(reference.version()).isEqualTo(naiveVersion());
    }

    /** Replays everything that was ever appended; no identifier may take effect twice. */
    private long naiveVersion() {
        long version = -1;
        Set<String> effective = new HashSet<>();
        for (LogRecord r : log.records) {
            boolean change = r.payload().path("kind").asText().equals("change");
            if (change && r.payload().path("base").asLong() == version) {
                assertThat(effective.add(r.id())).isTrue();
                version = r.offset();
            }
        }
        return version;
    }

    private void act(Random random, List<ConfigurationFold> readers, int i, int step) {
        ConfigurationFold reader = readers.get(i);
        switch (random.nextInt(7)) {
            case 0, 1 -> {
                change("r" + step, reader.version(), "n" + step);
                if (random.nextBoolean()) {
                    change("r" + step, reader.version(), "n" + step);
                }
            }
            case 2 -> {
                if (reader.isComplete()) {
                    snapshot("s" + step, reader);
                }
            }
            case 3 -> repeatOne(random);
            case 4 -> expire(random, step);
            case 5 -> {
                ConfigurationFold restarted = new ConfigurationFold();
                log.read(restarted, Integer.MAX_VALUE);
                if (restarted.isComplete()) {
                    readers.set(i, restarted);
                }
            }
            default -> log.read(reader, 1 + random.nextInt(5));
        }
    }

    @Test
    void decidesTheSameForAReaderThatHasNotSeenAnIdentifier() {
        change("a", -1, "first");
        change("b", 0, "second");
        snapshot("s", read());
        change("a", 1, "third");
        ConfigurationFold full = read();
        log.first = 2;
        assertThat(read().version()).isEqualTo(full.version()).isEqualTo(3);
    }

    private void repeatOne(Random random) {
        if (log.records.size() > log.first) {
            LogRecord old =
                    log.records.get(log.first + random.nextInt(log.records.size() - log.first));
            log.append(old.id(), old.payload());
        }
    }

    private void expire(Random random, int step) {
        int bound = log.first + random.nextInt(log.records.size() - log.first + 1);
        ConfigurationFold refresher = read();
        if (refresher.isComplete()) {
            snapshot("e" + step, refresher);
            log.first = bound;
        }
    }
}
