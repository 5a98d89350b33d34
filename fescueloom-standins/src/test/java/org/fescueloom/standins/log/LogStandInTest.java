package org.fescueloom.standins.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.fescueloom.standins.TestHttp.call;

import com.fasterxml.jackson.databind.node.IntNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fescueloom.log.LogPage;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.NewRecord;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.ListenAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LogStandInTest {
    private static final int RETAIN = 10;
    private final LogStandIn log = new LogStandIn(ListenAddress.ANY, RETAIN, 400);

    @BeforeEach
    void start() {
        log.start();
    }

    @AfterEach
    void close() {
        log.close();
    }

    private long append(int... payloads) throws IOException {
        List<NewRecord> records =
                IntStream.of(payloads)
                        .mapToObj(p -> new NewRecord("r" + p, new IntNode(p)))
                        .toList();
        Map<?, ?> response =
                call("POST", log.address(), "/v1/streams/jobs/records", Map.of("records", records))
                        .as(Map.class);
        return ((Number) response.get("offset")).longValue();
    }

    private LogPage read(String query, int expectedStatus) throws IOException {
        var response = call("GET", log.address(), "/v1/streams/jobs/records?" + query, null);
        assertThat(response.status()).isEqualTo(expectedStatus);
        return response.as(LogPage.class);
    }

    @Nested
    class Appends {
        @Test
        void keepsTheRecordsOfOneCallTogetherAndInOrder() throws IOException {
            assertThat(append(1, 2)).isZero();
            assertThat(append(3)).isEqualTo(2L);
            LogPage page = read("from=1&max=5", 200);
            assertThat(page.records()).extracting(LogRecord::id).containsExactly("r2", "r3");
            assertThat(page.next()).isEqualTo(3L);
        }

        @Test
        void respondsWith410BelowTheFirstKeptRecord() throws IOException {
            for (int i = 0; i < RETAIN + 2; i++) {
                append(i);
            }
            LogPage page = read("from=1", 410);
            assertThat(page.first()).isEqualTo(2L);
            assertThat(page.records()).isEmpty();
        }
    }

    @Nested
    class LongPoll {
        @Test
        void respondsAtTheNextAppend() throws Exception {
            CompletableFuture<LogPage> waitingRead =
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return read("from=0&waitMillis=15000", 200);
                                } catch (IOException e) {
                                    throw new java.io.UncheckedIOException(e);
                                }
                            });
            Thread.sleep(200);
            append(7);
            assertThat(waitingRead.get(5, TimeUnit.SECONDS).records()).hasSize(1);
        }

        @Test
        void respondsWithoutRecordsWhenTheWaitIsOver() throws IOException {
            assertThat(read("from=0&waitMillis=50", 200).records()).isEmpty();
        }
    }

    @Nested
    class ConfiguredFaults {
        @Test
        void refuseAnAppendWithoutAppending() throws IOException {
            call("PUT", log.address(), "/faults", Faults.of(Fault.always(FaultKind.REFUSE)));
            var response =
                    call("POST", log.address(), "/v1/streams/jobs/records", Map.of("records", 1));
            assertThat(response.status()).isEqualTo(503);
            assertThat(log.records()).isEmpty();
        }

        @Test
        void loseTheResponseAfterAppending() {
            log.faults(Faults.of(Fault.always(FaultKind.LOSE_ANSWER).withTimes(1)));
            assertThatThrownBy(() -> append(1)).isInstanceOf(IOException.class);
            assertThat(log.records().get("jobs").records()).hasSize(1);
        }

        @Test
        void closeTheConnectionWithoutAppending() throws IOException {
            log.faults(Faults.of(Fault.always(FaultKind.CLOSE).withTimes(1)));
            assertThatThrownBy(() -> append(1)).isInstanceOf(IOException.class);
            assertThat(append(2)).isZero();
        }

        @Test
        void expireRecords() throws IOException {
            append(1, 2, 3, 4);
            log.faults(Faults.of(Fault.expire(1)));
            assertThat(read("from=0", 410).first()).isEqualTo(3L);
        }
    }
}
