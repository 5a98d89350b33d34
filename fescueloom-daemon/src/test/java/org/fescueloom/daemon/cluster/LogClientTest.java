package org.fescueloom.daemon.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import com.fasterxml.jackson.databind.node.IntNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.log.LogRecord;
import org.fescueloom.standins.Fault;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.log.LogStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LogClientTest {
    private static final String STREAM = "jobs";

    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(1);
    private final Metrics metrics = new Metrics();
    private final LogStandIn logService = new LogStandIn(ListenAddress.ANY, 10_000, 400);
    private LogClient client;

    @BeforeEach
    void start() {
        logService.start();
        client = new LogClient(List.of(logService.address()), executor, metrics);
    }

    @AfterEach
    void close() {
        client.close();
        executor.shutdownNow();
        logService.close();
    }

    private long append(int value) {
        return client.append(STREAM, new IntNode(value)).join();
    }

    private FailureType failureType(CompletableFuture<?> future) {
        return Failures.typeOf(catchThrowable(future::join));
    }

    private List<LogRecord> records() {
        return logService.records().get(STREAM).records();
    }

    @Nested
    class GroupCommit {
        @Test
        void sendsConcurrentAppendsInFewCallsAndInOrder() {
            List<CompletableFuture<Long>> offsets = new ArrayList<>();
            for (int i = 0; i < 1_000; i++) {
                offsets.add(client.append(STREAM, new IntNode(i)));
            }
            for (int i = 0; i < 1_000; i++) {
                assertThat(offsets.get(i).join()).isEqualTo(i);
                assertThat(records().get(i).payload().asInt()).isEqualTo(i);
            }
            assertThat(metrics.registry().counter("log.append-calls").getCount()).isLessThan(20);
        }
    }

    @Nested
    class LostResponses {
        @Test
        void areResolvedByReadingTheStream() {
            append(1);
            logService.faults(Faults.of(Fault.always(FaultKind.LOSE_ANSWER).withTimes(1)));
            assertThat(append(2)).isEqualTo(1);
            assertThat(records()).hasSize(2);
            assertThat(append(3)).isEqualTo(2);
        }

        @Test
        void areFollowedByARetryIfTheRecordWasNotStored() {
            append(1);
            logService.faults(Faults.of(Fault.always(FaultKind.CLOSE).withTimes(1)));
            assertThat(append(2)).isEqualTo(1);
            assertThat(records()).hasSize(2);
        }
    }

    @Nested
    class Outages {
        @Test
        void failTheAppendAsUnavailableWhenTheLogRefuses() {
            logService.faults(Faults.of(Fault.always(FaultKind.REFUSE)));
            CompletableFuture<Long> append = client.append(STREAM, new IntNode(1));
            assertThat(failureType(append)).isEqualTo(FailureType.LOG_UNAVAILABLE);
            logService.faults(Faults.NONE);
            assertThat(append(2)).isZero();
        }

        @Test
        void failTheAppendAsUndecidedWhenItMayBeStored() {
            append(1);
            logService.faults(Faults.of(Fault.always(FaultKind.FREEZE)));
            CompletableFuture<Long> append = client.append(STREAM, new IntNode(2));
            assertThat(failureType(append)).isEqualTo(FailureType.LOG_UNDECIDED);
        }

        @Test
        void areRetriedUntilTheLogIsBack() {
            logService.faults(Faults.of(Fault.always(FaultKind.REFUSE).withTimes(3)));
            assertThat(append(1)).isZero();
        }
    }
}
