package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.work.JobStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JobQueryForwarderTest {
    private static final long WAIT_MILLIS = 2_500;
    private static final long TEST_SECONDS = 20;

    private final HttpServer server = new HttpServer("127.0.0.1", 0, 100_000);
    private final HttpClient http = new HttpClient(8, Duration.ofSeconds(1));
    private final ScheduledExecutorService loop = Timers.singleThread("test");
    private final AtomicInteger calls = new AtomicInteger();
    private volatile String dispatcher = "";
    private volatile Connectivity connectivity = Connectivity.SERVED;
    private final JobQueryForwarder forwarder =
            new JobQueryForwarder(http, () -> dispatcher, () -> connectivity, loop, new Metrics());

    /** Returns the response to a call to the dispatcher; the calls are numbered from 1. */
    private interface Reply {
        CompletableFuture<HttpServerResponse> to(int call);
    }

    private void serve(Reply reply) {
        for (String method : List.of("GET", "POST", "DELETE")) {
            server.route(method, "/*", call -> reply.to(calls.incrementAndGet()));
        }
        server.start();
        dispatcher = "127.0.0.1:" + server.port();
    }

    @AfterEach
    void close() {
        server.close();
        http.close();
        loop.shutdown();
    }

    private static CompletableFuture<HttpServerResponse> failedReply(FailureType type) {
        return CompletableFuture.failedFuture(new SchedulerException(type, "injected by the test"));
    }

    private static CompletableFuture<HttpServerResponse> successfulReply(Object body) {
        return CompletableFuture.completedFuture(HttpServerResponse.json(body));
    }

    private static FailureType failure(CompletableFuture<?> call) {
        return call.handle((value, error) -> Failures.typeOf(error))
                .orTimeout(TEST_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    @Nested
    class Retries {
        @Test
        void reachTheNextDispatcher() {
            serve(
                    call ->
                            call == 1
                                    ? failedReply(FailureType.NOT_DISPATCHER)
                                    : successfulReply(
                                            new JobQueryForwarder.JobStateResponse(
                                                    JobStatus.RUNNING)));

            assertThat(forwarder.status("j", WAIT_MILLIS).join()).isEqualTo(JobStatus.RUNNING);
        }

        @Test
        void followACallWithoutAResponse() {
            serve(
                    call ->
                            call == 1
                                    ? new CompletableFuture<>()
                                    : successfulReply(
                                            new JobQueryForwarder.JobStateResponse(
                                                    JobStatus.QUEUED)));

            assertThat(forwarder.status("j", WAIT_MILLIS).join()).isEqualTo(JobStatus.QUEUED);
            assertThat(calls.get()).isEqualTo(2);
        }
    }

    @Nested
    class Outcomes {
        @Test
        void areNotRunWithoutADispatcher() {
            assertThat(failure(forwarder.status("j", 300)).outcome()).isEqualTo(Outcome.NOT_RUN);
        }

        /**
         * Guards against incident 21: a call that no process had received was reported with an
         * unknown outcome.
         */
        @Test
        void areNotRunIfTheDispatcherRefusesTheConnection() {
            serve(call -> new CompletableFuture<>());
            server.close();

            assertThat(failure(forwarder.status("j", 300)).outcome()).isEqualTo(Outcome.NOT_RUN);
            assertThat(calls.get()).isZero();
        }

        @Test
        void areNotRunIfTheDispatcherDoesNotRespond() {
            serve(call -> new CompletableFuture<>());

            assertThat(failure(forwarder.status("j", 1_300)).outcome()).isEqualTo(Outcome.NOT_RUN);
        }

        @Test
        void comeAtOnceWhileNoEntryReachesTheLog() {
            connectivity = Connectivity.LOG_DOWN;
            serve(call -> failedReply(FailureType.LOG_UNAVAILABLE));

            assertThat(failure(forwarder.status("j", WAIT_MILLIS)))
                    .isEqualTo(FailureType.LOG_UNAVAILABLE);
            assertThat(calls.get()).isEqualTo(1);
        }

        @Test
        void areNotRunOnceTheDeadlineHasPassed() {
            serve(
                    call ->
                            successfulReply(
                                    new JobQueryForwarder.JobStateResponse(JobStatus.QUEUED)));

            assertThat(failure(forwarder.status("j", 0))).isEqualTo(FailureType.DEADLINE_PASSED);
            assertThat(calls.get()).isZero();
        }

        /**
         * Guards against incident 18: a cut-off entry responded to calls only at their deadline.
         */
        @Test
        void comeAtOnceAtACutOffEntry() {
            serve(
                    call ->
                            successfulReply(
                                    new JobQueryForwarder.JobStateResponse(JobStatus.RUNNING)));
            connectivity = Connectivity.CUT_OFF;

            assertThat(failure(forwarder.status("j", WAIT_MILLIS))).isEqualTo(FailureType.CUT_OFF);
            assertThat(failure(forwarder.pending("q", WAIT_MILLIS))).isEqualTo(FailureType.CUT_OFF);
            assertThat(calls.get()).isZero();
        }

        @Test
        void comeAtOnceAfterAClientError() {
            serve(call -> failedReply(FailureType.INVALID_FIELD));

            assertThat(failure(forwarder.status("j", WAIT_MILLIS)))
                    .isEqualTo(FailureType.INVALID_FIELD);
            assertThat(calls.get()).isEqualTo(1);
        }
    }
}
