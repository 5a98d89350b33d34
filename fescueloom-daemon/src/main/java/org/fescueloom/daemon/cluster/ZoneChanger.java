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

/**
 * Puts zones into service or takes them out, and waits until all entries and agents have confirmed
 * the change.
 */
final class ZoneChanger {
    /**
     * The time for which a change waits for confirmations, in milliseconds; its report then lists
     * the members that have not confirmed.
     */
    static final long CONFIRMATION_TIMEOUT_MILLIS = 8_000L;

    /** The time between two checks of the confirmations. */
    private static final long POLL_INTERVAL_MILLIS = 50L;

    /** The maximum number of retries after version conflicts. */
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
     * <p>If another change of the configuration was published first, the change is retried on the
     * newer version.
     *
     * @param zoneName the name of the zone, not null
     * @param state the state, not null
     * @return a future of the report; fails with {@code UNKNOWN_ZONE}, or as {@link
     *     ConfigurationPublisher#publish} does
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
                    new SchedulerException(
                            FailureType.UNKNOWN_ZONE, "the configuration has no zone " + zoneName));
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
                .thenCompose(future -> future);
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
        long nowMillis = Clocks.monotonicMillis();
        List<String> unconfirmed = unconfirmedMembers(version, nowMillis);
        if (!unconfirmed.isEmpty() && nowMillis < deadlineMillis) {
            executor.schedule(
                    () -> checkConfirmations(zoneName, state, version, deadlineMillis, report),
                    POLL_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        List<String> brokenGuarantees =
                state == ZoneState.OUT
                        ? hooks.brokenGuarantees(cluster.configurationView().document())
                        : List.of();
        report.complete(
                new ZoneChangeReport(
                        zoneName,
                        state,
                        version,
                        unconfirmed.isEmpty(),
                        unconfirmed,
                        brokenGuarantees));
    }

    /**
     * Returns the IDs of the entries and agents that do not have the version or a newer one yet.
     */
    private List<String> unconfirmedMembers(long version, long nowMillis) {
        List<String> memberIds = new ArrayList<>();
        if (cluster.configurationFollower().version() < version) {
            memberIds.add(cluster.memberId());
        }
        Stream.concat(
                        cluster.members().entries(nowMillis).stream(),
                        cluster.members().agents(nowMillis).stream())
                .filter(member -> !member.id().equals(cluster.memberId()))
                .filter(member -> member.announcement().configVersion() < version)
                .map(Member::id)
                .forEach(memberIds::add);
        return memberIds;
    }
}
