package org.fescueloom.daemon.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fescueloom.config.ConfigurationView;
import org.fescueloom.config.Zone;
import org.fescueloom.config.ZoneState;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.member.Member;
import org.fescueloom.report.ZoneChangeReport;

/** Takes zones in and out of service and waits until every process has confirmed. */
final class ZoneChanger {
    /** The time after which the processes that have not confirmed are named, in milliseconds. */
    static final long CONFIRMATION_TIMEOUT_MILLIS = 8_000L;

    private static final long POLL_INTERVAL_MILLIS = 50L;
    private static final int MAX_CONFLICT_RETRIES = 10;

    private final Cluster cluster;
    private final ConfigurationPublisher publisher;
    private final ScheduledExecutorService executor;
    private final OperatorHooks hooks;

    ZoneChanger(
            Cluster cluster,
            ConfigurationPublisher publisher,
            ScheduledExecutorService executor,
            OperatorHooks hooks) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
        this.publisher = Objects.requireNonNull(publisher, "publisher");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.hooks = Objects.requireNonNull(hooks, "hooks");
    }

    /**
     * Sets the state of a zone.
     *
     * <p>A change that another one overtook is tried again on the newer version.
     *
     * @param zone the name of the zone, not null
     * @param state the state, not null
     * @return a future of the report; fails with {@code UNKNOWN_ZONE} or as a publication does
     */
    CompletableFuture<ZoneChangeReport> change(String zoneName, ZoneState state) {
        return publishZoneState(zoneName, state, MAX_CONFLICT_RETRIES)
                .thenCompose(version -> awaitConfirmations(zoneName, state, version));
    }

    private CompletableFuture<Long> publishZoneState(
            String zoneName, ZoneState state, int retriesLeft) {
        ConfigurationView view = cluster.configurationView();
        Zone current = view.document().zone(zoneName).orElse(null);
        if (current == null) {
            return CompletableFuture.failedFuture(
                    new SchedulerException(FailureType.UNKNOWN_ZONE, "no zone " + zoneName));
        }
        return publisher
                .publish(view.version(), view.document().withZoneState(zoneName, state))
                .handle(
                        (version, error) -> {
                            if (error == null) {
                                return CompletableFuture.completedFuture(version);
                            }
                            SchedulerException failure = Failures.of(error);
                            if (failure.type() != FailureType.VERSION_CONFLICT
                                    || retriesLeft == 0) {
                                return CompletableFuture.<Long>failedFuture(failure);
                            }
                            cluster.metrics().countRetry(FailureType.VERSION_CONFLICT);
                            return publishZoneState(zoneName, state, retriesLeft - 1);
                        })
                .thenCompose(f -> f);
    }

    private CompletableFuture<ZoneChangeReport> awaitConfirmations(
            String zoneName, ZoneState state, long version) {
        CompletableFuture<ZoneChangeReport> report = new CompletableFuture<>();
        long deadlineMillis = Clocks.monotonicMillis() + CONFIRMATION_TIMEOUT_MILLIS;
        checkConfirmations(zoneName, state, version, deadlineMillis, report);
        return report;
    }

    private void checkConfirmations(
            String zoneName,
            ZoneState state,
            long version,
            long deadlineMillis,
            CompletableFuture<ZoneChangeReport> report) {
        long now = Clocks.monotonicMillis();
        List<String> unconfirmed = unconfirmedMembers(version, now);
        if (!unconfirmed.isEmpty() && now < deadlineMillis) {
            executor.schedule(
                    () -> checkConfirmations(zoneName, state, version, deadlineMillis, report),
                    POLL_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        List<String> broken =
                state == ZoneState.OUT
                        ? hooks.brokenGuarantees(cluster.configurationView().document())
                        : List.of();
        report.complete(
                new ZoneChangeReport(
                        zoneName, state, version, unconfirmed.isEmpty(), unconfirmed, broken));
    }

    private List<String> unconfirmedMembers(long version, long now) {
        List<String> memberIds = new ArrayList<>();
        if (cluster.configurationFollower().version() < version) {
            memberIds.add(cluster.memberId());
        }
        Stream.concat(
                        cluster.members().entries(now).stream(),
                        cluster.members().agents(now).stream())
                .filter(m -> !m.id().equals(cluster.memberId()))
                .filter(m -> m.announcement().configVersion() < version)
                .map(Member::id)
                .forEach(memberIds::add);
        return memberIds;
    }
}
