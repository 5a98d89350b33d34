package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;

/**
 * Stores submissions and cancellations of callers in the intake log, on any entry, whether or not a
 * dispatcher exists.
 *
 * <p>If a partition of the intake log fails or does not respond, the request is appended to another
 * one; if all of them fail, other entries (peers) are asked to store it. An append whose outcome is
 * unknown is repeated; this is safe because storing a request twice has no further effect.
 */
final class IntakeWriter {
    /**
     * Maximum size of an encoded request; the log service accepts records of up to 256 KiB,
     * including the key.
     */
    static final int MAX_REQUEST_BYTES = 250_000;

    /**
     * Maximum total size of the requests that this entry stores while there is no dispatcher,
     * because a new dispatcher loads all of them.
     */
    static final int MAX_UNREAD_BYTES = 2 << 20;

    /** Time to wait for the responses to the appends of an attempt before a peer is asked. */
    private static final long APPEND_TIMEOUT_MILLIS = 900;

    /**
     * Time to wait for the response to an append before the request is appended to another
     * partition, too; a healthy log service responds in about 6 ms.
     */
    private static final long PARTITION_TIMEOUT_MILLIS = 150;

    /** Time to wait for the response to a read after a call to the log service has failed. */
    private static final long PROBE_TIMEOUT_MILLIS = 300;

    /** Time to wait for a peer: one append, and the transit time of the call and its response. */
    private static final long PEER_TIMEOUT_MILLIS = 1_000;

    /** Pause before a request is stored again after an append with unknown outcome. */
    private static final long RETRY_MILLIS = 100;

    /**
     * If a caller waits for less than this time, this entry retries on its behalf, because the
     * caller is unlikely to repeat a failed call in time.
     */
    private static final long SHORT_WAIT_MILLIS = 500;

    /**
     * Pause before a retry on behalf of a caller that waits for less than {@link
     * #SHORT_WAIT_MILLIS}.
     */
    private static final long SHORT_WAIT_RETRY_MILLIS = 40;

    /**
     * The lowest HTTP status of a server error. A peer's failure with a lower status is final: no
     * further peer is asked.
     */
    private static final int FIRST_SERVER_ERROR = 500;

    private final IntakePartitions partitions;
    private final HttpClient http;
    private final EntryState entryState;
    private final ScheduledExecutorService loop;
    private final LogServiceContact contact;
    private final Metrics metrics;

    private final UnknownOutcomes unknownOutcomes = new UnknownOutcomes(this::now);

    /**
     * Total size of the requests that this entry has stored since it last knew of a live
     * dispatcher.
     */
    private long unreadBytes;

    /**
     * Creates a writer.
     *
     * @param partitions the partitions of the intake log
     * @param http sends requests to peers
     * @param entryState gives access to the state of the entry
     * @param loop the event loop of the entry
     * @param contact read for the monotonic time only
     * @param metrics counts stored requests, appends and retries
     */
    IntakeWriter(
            IntakePartitions partitions,
            HttpClient http,
            EntryState entryState,
            ScheduledExecutorService loop,
            LogServiceContact contact,
            Metrics metrics) {
        this.partitions = partitions;
        this.http = http;
        this.entryState = entryState;
        this.loop = loop;
        this.contact = contact;
        this.metrics = metrics;
    }

    /**
     * Stores a request, through a peer if a call of this entry to the log service fails or times
     * out.
     *
     * @param request the request
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return a future that completes once the request is stored. If it fails with {@link
     *     Outcome#NOT_RUN}, no append of the request that this entry knows of has been or will be
     *     executed
     */
    CompletableFuture<Void> store(IntakeRequest request, long waitMillis) {
        return start(new StoreOperation(request, waitMillis, true));
    }

    /**
     * Stores a request on behalf of a peer, without asking further peers.
     *
     * @param request the request
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return a future that completes like the one that {@link #store} returns
     */
    CompletableFuture<Void> storeForPeer(IntakeRequest request, long waitMillis) {
        return start(new StoreOperation(request, waitMillis, false));
    }

    private CompletableFuture<Void> start(StoreOperation operation) {
        if (operation.encoded.value().length > MAX_REQUEST_BYTES) {
            return CompletableFuture.failedFuture(
                    new SchedulerException(
                            FailureType.BODY_TOO_LARGE,
                            "the request for job "
                                    + operation.request.jobId()
                                    + " has "
                                    + operation.encoded.value().length
                                    + " bytes, at most "
                                    + MAX_REQUEST_BYTES
                                    + " are allowed"));
        }
        loop.execute(operation::start);
        return operation.result;
    }

    private long now() {
        return contact.now().monotonicMillis();
    }

    /**
     * Stores one request: makes attempts until one succeeds, a failure is final, or the caller
     * stops waiting. An attempt consists of appends to one partition after the other, reads as
     * probes of the partitions that fail, and requests to peers one after the other. Confined to
     * the event loop.
     */
    private final class StoreOperation {
        private final CompletableFuture<Void> result = new CompletableFuture<>();
        private final IntakeRequest request;
        private final KeyedRecord encoded;
        private final boolean mayAskPeers;
        private final long startMillis = now();
        private final long deadlineMillis;

        /** Whether an append of the request may have been or may still be executed. */
        private boolean outcomeUnknown;

        /** Whether the append or the request to a peer in progress may still store the request. */
        private BooleanSupplier mayBeStored = () -> false;

        /** The number of appends and of requests to peers so far. */
        private int tries;

        /** The partitions that the present attempt has tried. */
        private final Set<IntakeAppender> tried = new HashSet<>();

        /** The time of the first append of the present attempt; meaningless before. */
        private long firstAppendMillis;

        private boolean appended;

        StoreOperation(IntakeRequest request, long waitMillis, boolean mayAskPeers) {
            this.request = request;
            this.encoded = request.toRecord();
            this.mayAskPeers = mayAskPeers;
            deadlineMillis = startMillis + waitMillis;
        }

        void start() {
            outcomeUnknown = unknownOutcomes.contains(encoded.key());
            loop.schedule(
                    () -> fail(CallFailures.deadlinePassed()),
                    remainingMillis(),
                    TimeUnit.MILLISECONDS);
            attempt();
        }

        private void attempt() {
            if (result.isDone()) {
                return;
            }
            // A submission of a stored job needs no append: storing it twice has no further effect.
            if (request.kind() == IntakeKind.SUBMISSION
                    && entryState.jobStored().test(request.jobId())) {
                result.complete(null);
            } else if (entryState.connectivity().get() == Connectivity.CUT_OFF) {
                fail(CallFailures.cutOff());
            } else if (remainingMillis() <= 0) {
                fail(CallFailures.deadlinePassed());
            } else if (unreadLimitReached()) {
                fail(
                        new SchedulerException(
                                FailureType.OVERLOADED,
                                "requests that wait for a dispatcher have "
                                        + unreadBytes
                                        + " bytes, limit "
                                        + MAX_UNREAD_BYTES));
            } else {
                tried.clear();
                appended = false;
                tryNextPartition(CallFailures.logUnavailable("no partition responds"));
            }
        }

        /**
         * Appends to the next partition that does not fail. If there is none, probes the others
         * that are left, since one of them may have recovered.
         *
         * @param failure the last failure of the present attempt
         */
        private void tryNextPartition(SchedulerException failure) {
            Optional<IntakeAppender> next =
                    entryState.logFailing().getAsBoolean()
                            ? Optional.empty()
                            : partitions.responding(tried);
            List<IntakeAppender> others = partitions.except(tried);
            if (next.isPresent()) {
                append(next.get());
            } else if (!others.isEmpty()) {
                probe(others);
            } else {
                onLogFailure(failure);
            }
        }

        private boolean unreadLimitReached() {
            if (entryState.dispatcherAlive().getAsBoolean()) {
                unreadBytes = 0;
            }
            return unreadBytes >= MAX_UNREAD_BYTES;
        }

        /**
         * Checks with reads which of some partitions responds first, and appends to that one: an
         * append without a response has an unknown outcome.
         */
        private void probe(List<IntakeAppender> candidates) {
            tried.addAll(candidates);
            RemoteCall remoteCall = newCall(this::onLogFailure);
            AtomicInteger failures = new AtomicInteger();
            for (IntakeAppender candidate : candidates) {
                candidate
                        .probe(PROBE_TIMEOUT_MILLIS)
                        .whenCompleteAsync(
                                (page, error) -> {
                                    if (error == null) {
                                        if (remoteCall.finish()) {
                                            append(candidate);
                                        }
                                    } else if (failures.incrementAndGet() == candidates.size()) {
                                        remoteCall.fail(logUnavailable(error));
                                    }
                                },
                                loop);
            }
            long timeout = remoteCallTimeout(PROBE_TIMEOUT_MILLIS);
            remoteCall.failAfter(
                    timeout,
                    () ->
                            CallFailures.logUnavailable(
                                    "the log service has not responded to a read within "
                                            + timeout
                                            + " ms"));
        }

        /**
         * Appends the request to a partition. A late response counts even if another partition or a
         * peer has been tried meanwhile.
         */
        private void append(IntakeAppender appender) {
            tries++;
            tried.add(appender);
            if (!appended) {
                appended = true;
                firstAppendMillis = now();
            }
            CompletableFuture<Void> stored = appender.append(encoded);
            RemoteCall remoteCall = newCall(failure -> onAppendFailure(appender, failure));
            mayBeStored = () -> !remoteCall.finished() && !appender.withdraw(stored);
            stored.whenComplete(
                    (v, error) -> {
                        if (error == null) {
                            unreadBytes += encoded.value().length;
                            succeed(appender.partition(), null);
                        } else {
                            remoteCall.fail(Failures.of(error, FailureType.LOG_UNDECIDED));
                        }
                    });
            long timeout = appendTimeout();
            // A record that is withdrawn before it was sent is certainly not stored.
            remoteCall.failAfter(
                    timeout,
                    () ->
                            appender.withdraw(stored)
                                    ? CallFailures.logUnavailable(
                                            "the append was not sent within "
                                                    + timeout
                                                    + " ms, because too many appends are in"
                                                    + " progress")
                                    : silent(appender, timeout));
        }

        private SchedulerException silent(IntakeAppender appender, long millis) {
            appender.markSilent();
            return CallFailures.logUndecided(
                    "the log service has not responded to an append to "
                            + appender.partition()
                            + " within "
                            + millis
                            + " ms");
        }

        /**
         * Returns the timeout of an append. The last partition of an attempt gets all the time that
         * the attempt has left for appends.
         */
        private long appendTimeout() {
            long left = APPEND_TIMEOUT_MILLIS - (now() - firstAppendMillis);
            return remoteCallTimeout(
                    partitions.except(tried).isEmpty()
                            ? Math.max(PARTITION_TIMEOUT_MILLIS, left)
                            : PARTITION_TIMEOUT_MILLIS);
        }

        private void onAppendFailure(IntakeAppender appender, SchedulerException failure) {
            recordOutcome(failure);
            if (failure.type() == FailureType.LOG_REFUSED) {
                fail(failure);
                return;
            }
            metrics.count("intake.partition-failures");
            if (remainingMillis() > 0) {
                tryNextPartition(failure);
            } else {
                onLogFailure(failure);
            }
        }

        private void onLogFailure(SchedulerException failure) {
            // With any other connectivity, no peer is known to reach the log service.
            boolean askPeers =
                    mayAskPeers && entryState.connectivity().get() == Connectivity.SERVED;
            List<String> peers = askPeers ? entryState.peers().get() : List.of();
            tryNextPeer(peers.iterator(), failure);
        }

        private void tryNextPeer(Iterator<String> peers, SchedulerException failure) {
            if (!peers.hasNext() || remainingMillis() <= 0) {
                retryOrFail(failure);
                return;
            }
            tries++;
            String peer = peers.next();
            long timeout = remoteCallTimeout(PEER_TIMEOUT_MILLIS);
            RemoteCall remoteCall = newCall(peerFailure -> onPeerFailure(peerFailure, peers));
            mayBeStored = () -> !remoteCall.finished();
            send(peer, timeout)
                    .whenCompleteAsync(
                            (response, error) -> {
                                if (error != null) {
                                    remoteCall.fail(CallFailures.noResponse(error));
                                } else if (response.isSuccess()) {
                                    succeed(null, peer);
                                } else {
                                    remoteCall.fail(CallFailures.fromResponse(response));
                                }
                            },
                            loop);
            remoteCall.failAfter(
                    timeout,
                    () ->
                            CallFailures.logUndecided(
                                    "entry "
                                            + peer
                                            + " has not responded within "
                                            + timeout
                                            + " ms"));
        }

        private CompletableFuture<HttpClientResponse> send(String peer, long timeout) {
            // The peer waits for less time than this entry, so that the response arrives in time
            // and the outcome is known. A later response still counts, so the HTTP call itself
            // times out only at the deadline of the operation.
            long wait = Math.max(1, ResponseTimeMargin.subtractFrom(timeout));
            String path = "/jobs/" + request.jobId() + "?wait=" + wait;
            return http.send(
                    HttpClient.request(
                                    request.kind().httpMethod(), peer, path, request.submission())
                            .build(),
                    Duration.ofMillis(Math.max(1, remainingMillis())));
        }

        private void onPeerFailure(SchedulerException failure, Iterator<String> peers) {
            recordOutcome(failure);
            if (failure.type().status() < FIRST_SERVER_ERROR) {
                fail(failure);
            } else {
                tryNextPeer(peers, failure);
            }
        }

        private void recordOutcome(SchedulerException failure) {
            outcomeUnknown |= failure.type().outcome() != Outcome.NOT_RUN;
        }

        /**
         * Retries if the outcome of an append is unknown, or if the caller waits for a short time
         * and is unlikely to repeat the call; fails otherwise.
         */
        private void retryOrFail(SchedulerException failure) {
            boolean shortWait = deadlineMillis - startMillis < SHORT_WAIT_MILLIS;
            if (outcomeUnknown) {
                scheduleRetry(failure, RETRY_MILLIS);
            } else if (shortWait && remainingMillis() > 2 * SHORT_WAIT_RETRY_MILLIS) {
                // An append without enough time for its response would have an unknown outcome.
                scheduleRetry(failure, SHORT_WAIT_RETRY_MILLIS);
            } else {
                fail(CallFailures.logUnavailable(failure.getMessage()));
            }
        }

        private void scheduleRetry(SchedulerException failure, long pauseMillis) {
            metrics.countRetry(failure.type());
            loop.schedule(this::attempt, pauseMillis, TimeUnit.MILLISECONDS);
        }

        private void fail(SchedulerException failure) {
            if (result.isDone()) {
                return;
            }
            outcomeUnknown |= mayBeStored.getAsBoolean();
            if (outcomeUnknown) {
                unknownOutcomes.add(encoded.key());
                metrics.count("intake.outcomes-unknown");
            }
            result.completeExceptionally(
                    outcomeUnknown
                            ? new SchedulerException(
                                    FailureType.OUTCOME_UNKNOWN,
                                    "it is unknown whether the request for job "
                                            + request.jobId()
                                            + " is stored; the entry has tried for "
                                            + (now() - startMillis)
                                            + " ms",
                                    0L,
                                    failure)
                            : failure);
        }

        /**
         * Completes the operation, unless it has ended before.
         *
         * @param partition the partition to which this entry has appended; null if a peer did
         * @param peer the peer that stored the request; null if this entry did
         */
        private void succeed(LogPartition partition, String peer) {
            // The key is removed even if the operation has failed meanwhile, since the outcome is
            // known now.
            unknownOutcomes.remove(encoded.key());
            if (result.isDone()) {
                return;
            }
            metrics.count("intake.stored");
            EventLog.event(request.kind().eventName())
                    .field("job", request.jobId())
                    .field("took", now() - startMillis)
                    .field("tries", tries)
                    .field("log", partition)
                    .field("through", peer)
                    .info();
            result.complete(null);
        }

        private RemoteCall newCall(Consumer<SchedulerException> onFailure) {
            return new RemoteCall(loop, result::isDone, onFailure);
        }

        private long remainingMillis() {
            return deadlineMillis - now();
        }

        /**
         * Returns the timeout of a remote call: at most half of the remaining time, which leaves
         * time for another call.
         */
        private long remoteCallTimeout(long maxMillis) {
            return Math.max(1, Math.min(maxMillis, remainingMillis() / 2));
        }
    }

    private static SchedulerException logUnavailable(Throwable error) {
        return CallFailures.logUnavailable(String.valueOf(Failures.causeOf(error).getMessage()));
    }
}
