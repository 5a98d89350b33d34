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
    static final long CONFIRM_MILLIS = 8_000L;

    private static final long POLL_MILLIS = 50L;
    private static final int MAX_CONFLICTS = 10;

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
    CompletableFuture<ZoneChangeReport> change(String zone, ZoneState state) {
        return publish(zone, state, MAX_CONFLICTS)
                .thenCompose(version -> confirm(zone, state, version));
    }

    private CompletableFuture<Long> publish(String zone, ZoneState state, int conflictsLeft) {
        ConfigurationView view = cluster.view();
        Zone current = view.document().zone(zone).orElse(null);
        if (current == null) {
            return CompletableFuture.failedFuture(
                    new SchedulerException(FailureType.UNKNOWN_ZONE, "no zone " + zone));
        }
        return publisher
                .publish(view.version(), view.document().withZoneState(zone, state))
                .handle(
                        (version, error) -> {
                            if (error == null) {
                                return CompletableFuture.completedFuture(version);
                            }
                            SchedulerException failure = Failures.of(error);
                            if (failure.type() != FailureType.VERSION_CONFLICT
                                    || conflictsLeft == 0) {
                                return CompletableFuture.<Long>failedFuture(failure);
                            }
                            cluster.metrics().countRetry(FailureType.VERSION_CONFLICT);
                            return publish(zone, state, conflictsLeft - 1);
                        })
                .thenCompose(f -> f);
    }

    private CompletableFuture<ZoneChangeReport> confirm(
            String zone, ZoneState state, long version) {
        CompletableFuture<ZoneChangeReport> report = new CompletableFuture<>();
        long deadline = Clocks.monotonicMillis() + CONFIRM_MILLIS;
        check(zone, state, version, deadline, report);
        return report;
    }

    private void check(
            String zone,
            ZoneState state,
            long version,
            long deadline,
            CompletableFuture<ZoneChangeReport> report) {
        long now = Clocks.monotonicMillis();
        List<String> unconfirmed = unconfirmed(version, now);
        if (!unconfirmed.isEmpty() && now < deadline) {
            executor.schedule(
                    () -> check(zone, state, version, deadline, report),
                    POLL_MILLIS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        List<String> broken =
                state == ZoneState.OUT
                        ? hooks.brokenGuarantees(cluster.view().document())
                        : List.of();
        report.complete(
                new ZoneChangeReport(
                        zone, state, version, unconfirmed.isEmpty(), unconfirmed, broken));
    }

    private List<String> unconfirmed(long version, long now) {
        List<String> names = new ArrayList<>();
        if (cluster.configuration().version() < version) {
            names.add(cluster.member());
        }
        Stream.concat(
                        cluster.members().entries(now).stream(),
                        cluster.members().agents(now).stream())
                .filter(m -> !m.id().equals(cluster.member()))
                .filter(m -> m.announcement().configVersion() < version)
                .map(Member::id)
                .forEach(names::add);
        return names;
    }
}
