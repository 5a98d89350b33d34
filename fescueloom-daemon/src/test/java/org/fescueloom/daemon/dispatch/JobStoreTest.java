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
        KeyedRecord item = new KeyedRecord(key, value);
        log.append(JobStore.TOPIC, List.of(item), KeyedLog.ANY_END, Duration.ZERO);
    }

    private void store(String key, String value) {
        store(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private JobStore.StoredState load() {
        return JobStore.load(log).join();
    }

    @Nested
    class OddRecords {
        private void storeJob(String id) {
            store(JobStore.submissionKey(id), JobStore.encode(JobSamples.singleTask(id)));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "null", "7", "[]", "{}", "[[", "{\"id\":\"x\"}"})
        void ofSubmissionsLeaveTheOthers(String odd) {
            storeJob(ID);
            store(JobStore.submissionKey("bb"), odd);
            store(JobStore.progressKey("cc"), odd);
            store(JobStore.speedKey("a"), odd);
            store("other", odd);

            assertThat(load().jobs()).containsOnlyKeys(ID);
            assertThat(load().speeds()).isEmpty();
        }

        // Guards against incident 24: no entry could dispatch while one such record was kept.
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
        void ofProgressLeaveTheOthers(String tasks) {
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
        void nestedDeeplyLeaveTheOthers() {
            storeJob(ID);
            store(
                    JobStore.submissionKey("bb"),
                    "{\"id\":" + "[".repeat(200_000) + "]".repeat(200_000) + "}");

            assertThat(load().jobs()).containsOnlyKeys(ID);
        }
    }
}
