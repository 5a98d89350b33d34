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

    /** Creates a document with a given name, so that two changes can be distinguished. */
    static ConfigurationDocument document(String name) {
        ServiceClass c = new ServiceClass(name, 1_000, 1, 1_024);
        return new ConfigurationDocument(List.of(c), null, null);
    }

    private static String documentName(ConfigurationFold fold) {
        return fold.document().classes().isEmpty() ? "" : fold.document().classes().get(0).name();
    }

    private void appendChange(String id, long base, String name) {
        log.append(id, ConfigurationRecord.change(base, document(name), "w").payload());
    }

    private void appendSnapshot(String id, ConfigurationFold fold) {
        log.append(
                id,
                ConfigurationRecord.snapshot(
                                fold.version(), fold.nextOffset(), fold.document(), "w")
                        .payload());
    }

    private ConfigurationFold readAll() {
        ConfigurationFold fold = new ConfigurationFold();
        log.read(fold, Integer.MAX_VALUE);
        return fold;
    }

    /** Keeps records in order and can drop the oldest records. */
    static final class FakeLog {
        private final List<LogRecord> records = new ArrayList<>();
        private int firstOffset;

        void append(String id, JsonNode payload) {
            records.add(new LogRecord(records.size(), records.size() * 10L, id, payload));
        }

        void read(ConfigurationFold reader, int maxRecords) {
            reader.skipTo(firstOffset);
            int end = (int) Math.min(records.size(), reader.nextOffset() + (long) maxRecords);
            for (int i = (int) reader.nextOffset(); i < end; i++) {
                reader.apply(records.get(i));
            }
        }
    }

    @Nested
    class Changes {
        @Test
        void acceptsOneOfTwoConcurrentChangesAndReportsAConflictForTheOther() {
            appendChange("a", -1, "first");
            appendChange("b", 0, "left");
            appendChange("c", 0, "right");
            ConfigurationFold fold = readAll();
            assertThat(fold.version()).isEqualTo(1);
            assertThat(documentName(fold)).isEqualTo("left");
            assertThat(fold.verdict("b")).contains(RecordVerdict.ACCEPTED);
            assertThat(fold.verdict("c")).contains(RecordVerdict.CONFLICT);
        }

        @Test
        void ignoresARepeatedAppend() {
            appendChange("a", -1, "first");
            appendChange("a", -1, "first");
            appendChange("b", 0, "second");
            appendChange("a", -1, "first");
            ConfigurationFold fold = readAll();
            assertThat(documentName(fold)).isEqualTo("second");
            assertThat(fold.verdict("a")).contains(RecordVerdict.ACCEPTED);
            assertThat(fold.count(RecordVerdict.REPEATED)).isEqualTo(2);
        }

        @Test
        void refusesABaseThatDoesNotExistYet() {
            appendChange("a", 2, "future");
            appendChange("b", -1, "first");
            appendChange("c", 2, "future");
            assertThat(documentName(readAll())).isEqualTo("first");
        }
    }

    @Nested
    class UnreadableRecords {
        @Test
        void skipsAndCountsThem() {
            appendChange("a", -1, "first");
            log.append("x", JsonNodeFactory.instance.nullNode());
            log.append("y", Json.tree(List.of("no record")));
            log.append("z", JsonNodeFactory.instance.objectNode().put("format", 1).put("base", 0));
            log.append("f", JsonNodeFactory.instance.objectNode().put("format", 2));
            appendChange("b", 0, "second");
            ConfigurationFold fold = readAll();
            assertThat(documentName(fold)).isEqualTo("second");
            assertThat(fold.count(RecordVerdict.CORRUPT)).isEqualTo(3);
            assertThat(fold.count(RecordVerdict.UNKNOWN_FORMAT)).isEqualTo(1);
        }
    }

    @Nested
    class Expiry {
        @Test
        void restoresTheVersionFromASnapshot() {
            appendChange("a", -1, "first");
            appendChange("b", 0, "second");
            appendSnapshot("s", readAll());
            log.firstOffset = 2;
            ConfigurationFold fresh = readAll();
            assertThat(fresh.isComplete()).isTrue();
            assertThat(fresh.version()).isEqualTo(1);
            assertThat(documentName(fresh)).isEqualTo("second");
        }

        @Test
        void appliesAChangeMissingFromALaterSnapshot() {
            appendChange("a", -1, "first");
            ConfigurationFold stale = readAll();
            appendChange("b", 0, "second");
            appendSnapshot("s", stale);
            appendChange("c", 1, "third");
            ConfigurationFold full = readAll();
            log.firstOffset = 1;
            ConfigurationFold fresh = readAll();
            assertThat(fresh.version()).isEqualTo(full.version()).isEqualTo(3);
        }

        @Test
        void ignoresASnapshotThatLacksExpiredRecords() {
            appendChange("a", -1, "first");
            ConfigurationFold stale = readAll();
            appendChange("b", 0, "second");
            appendSnapshot("s", stale);
            log.firstOffset = 2;
            ConfigurationFold fresh = readAll();
            assertThat(fresh.isComplete()).isFalse();
            assertThat(fresh.version()).isEqualTo(-1);
            assertThat(fresh.adopt(2, 1, document("second"))).isTrue();
            assertThat(fresh.version()).isEqualTo(1);
        }

        @Test
        void keepsItsDocumentWhenRecordsExpireUnread() {
            appendChange("a", -1, "first");
            ConfigurationFold slow = readAll();
            appendChange("b", 0, "second");
            ConfigurationFold full = readAll();
            log.firstOffset = 2;
            log.read(slow, 100);
            assertThat(documentName(slow)).isEqualTo("first");
            appendSnapshot("s", full);
            log.read(slow, 100);
            assertThat(documentName(slow)).isEqualTo("second");
        }
    }

    @Property(tries = 300, seed = "42")
    void allReadersAgreeUnderAnyInterleaving(
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
            performRandomStep(random, readers, i, step);
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
        assertThat(reference.version()).isEqualTo(versionByFullReplay());
    }

    /**
     * Replays all records that were ever appended, and checks that no record identifier takes
     * effect twice.
     */
    private long versionByFullReplay() {
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

    private void performRandomStep(
            Random random, List<ConfigurationFold> readers, int i, int step) {
        ConfigurationFold reader = readers.get(i);
        switch (random.nextInt(7)) {
            case 0, 1 -> {
                appendChange("r" + step, reader.version(), "n" + step);
                if (random.nextBoolean()) {
                    appendChange("r" + step, reader.version(), "n" + step);
                }
            }
            case 2 -> {
                if (reader.isComplete()) {
                    appendSnapshot("s" + step, reader);
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
    void readerThatHasNotSeenAnIdentifierReachesTheSameVersion() {
        appendChange("a", -1, "first");
        appendChange("b", 0, "second");
        appendSnapshot("s", readAll());
        appendChange("a", 1, "third");
        ConfigurationFold full = readAll();
        log.firstOffset = 2;
        assertThat(readAll().version()).isEqualTo(full.version()).isEqualTo(3);
    }

    private void repeatOne(Random random) {
        if (log.records.size() > log.firstOffset) {
            LogRecord old =
                    log.records.get(
                            log.firstOffset + random.nextInt(log.records.size() - log.firstOffset));
            log.append(old.id(), old.payload());
        }
    }

    private void expire(Random random, int step) {
        int bound = log.firstOffset + random.nextInt(log.records.size() - log.firstOffset + 1);
        ConfigurationFold refresher = readAll();
        if (refresher.isComplete()) {
            appendSnapshot("e" + step, refresher);
            log.firstOffset = bound;
        }
    }
}
