package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueloom.json.Json;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EntryDirectoryTest {
    private static final EntryDirectory.Registration OWN =
            new EntryDirectory.Registration("p", 0.9);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ManualScheduler loop = new ManualScheduler();
    private final Map<String, EntryDirectory.Registration> read = new HashMap<>();

    private void store(String address, String value) {
        KeyedRecord registration = new KeyedRecord(address, value.getBytes(StandardCharsets.UTF_8));
        log.append(
                EntryDirectory.LOG, List.of(registration), KeyedLog.ANY_END, Duration.ofSeconds(1));
    }

    private void start() {
        new EntryDirectory(log, "own:1", OWN, loop, read::putAll).start();
        loop.advance(10);
    }

    @Nested
    class Registrations {
        @Test
        void tellTheProcessorTimeOfAnEntry() {
            start();
            start();

            assertThat(read).containsEntry("own:1", OWN);
        }

        // Guards against the class of the review's case 6: one page was taken for all entries.
        @Test
        void areReadFromAllPages() {
            for (int i = 0; i < 1_100; i++) {
                store("10.0.0.1:" + i, "{}");
            }
            start();

            assertThat(read).hasSize(1_100);
        }

        @Test
        void ofEarlierVersionsAndUnreadableOnesLackTheProcessorTime() {
            store("old:1", "{\"process\":\"p\"}");
            store("odd:1", "[7");
            store("null:1", "null");
            start();

            assertThat(read.keySet()).containsExactlyInAnyOrder("old:1", "odd:1", "null:1");
            assertThat(read.values()).allMatch(registration -> registration.cores() == 0);
        }
    }

    @Nested
    class HelloMessages {
        @Test
        void ofEarlierVersionsLackTheProcessorTime() {
            PeerHello hello = new PeerHello("a:1", 1, "", 0, 0, 0, 0, true, false, 0.9, List.of());
            String message = new String(Json.write(hello), StandardCharsets.UTF_8);
            String earlier = message.replaceAll(",\"cores\":[0-9.]+", "");

            assertThat(earlier).doesNotContain("cores");
            assertThat(Json.read(earlier.getBytes(StandardCharsets.UTF_8), PeerHello.class).cores())
                    .isZero();
        }
    }
}
