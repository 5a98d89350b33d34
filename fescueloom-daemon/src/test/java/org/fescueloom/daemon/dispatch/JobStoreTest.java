package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JobStoreTest {
    private static final String ID = "00000000000000aa";

    private final MemoryKeyedLog log = new MemoryKeyedLog();

    private void store(String key, byte[] value) {
        KeyedRecord keyedRecord = new KeyedRecord(key, value);
        log.append(JobStore.LOG, List.of(keyedRecord), KeyedLog.ANY_END, Duration.ZERO);
    }

    private void store(String key, String value) {
        store(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private JobStore.StoredState load() {
        return JobStore.load(log).join();
    }

    @Nested
    class UnreadableRecords {
        private void storeJob(String id) {
            store(JobStore.submissionKey(id), JobStore.encode(JobSamples.singleTask(id)));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "null", "7", "[]", "{}", "[[", "{\"id\":\"x\"}"})
        void ofAnyKindAreSkipped(String value) {
            storeJob(ID);
            store(JobStore.submissionKey("bb"), value);
            store(JobStore.progressKey("cc"), value);
            store(JobStore.speedKey("a"), value);
            store("other", value);

            assertThat(load().jobs()).containsOnlyKeys(ID);
            assertThat(load().speeds()).isEmpty();
        }

        // Guards against incident 24: no entry could become dispatcher while a record with invalid
        // progress was stored.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "{\"0\":null}",
                    "{\"0\":[null]}",
                    "{\"0\":[[null]]}",
                    "{\"-1\":[[]]}",
                    "{\"2147483647\":[[]]}",
                    "{\"x\":[[]]}"
                })
        void withInvalidProgressDoNotAffectOtherJobs(String tasks) {
            storeJob(ID);
            storeJob("00000000000000bb");
            store(
                    JobStore.progressKey("00000000000000bb"),
                    "{\"phase\":\"active\",\"begun\":true,\"endedAtMillis\":0,\"tasks\":"
                            + tasks
                            + ",\"finished\":0}");

            assertThat(load().jobs()).containsKey(ID);
        }

        @Test
        void thatAreDeeplyNestedAreSkipped() {
            storeJob(ID);
            store(
                    JobStore.submissionKey("bb"),
                    "{\"id\":" + "[".repeat(200_000) + "]".repeat(200_000) + "}");

            assertThat(load().jobs()).containsOnlyKeys(ID);
        }
    }
}
