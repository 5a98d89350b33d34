package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.fescueloom.daemon.metrics.Metrics;

/**
 * Chooses the partition of the intake log to which an entry appends.
 *
 * <p>An entry stays with one partition until that partition fails, so a partition that has failed
 * gets no further appends before the others fail, too. Confined to the event loop of its owner.
 */
final class IntakePartitions {
    private final List<IntakeAppender> appenders;
    private int preferred;

    /**
     * Creates an instance.
     *
     * @param appenders one appender for each partition, not empty
     * @param preferred the index of the first partition to use; entries that begin with different
     *     ones share the load
     */
    IntakePartitions(List<IntakeAppender> appenders, int preferred) {
        if (preferred < 0 || preferred >= appenders.size()) {
            throw new IllegalArgumentException(
                    "partition %d of %d does not exist".formatted(preferred, appenders.size()));
        }
        this.appenders = List.copyOf(appenders);
        this.preferred = preferred;
    }

    /**
     * Creates the partitions of an entry.
     *
     * @param log the access to the intake log
     * @param address the address of the entry, which determines the partition that it uses first
     * @param loop the event loop of the owner
     * @param clocks read for the monotonic time only
     * @param metrics counts appends and retries
     */
    static IntakePartitions create(
            LogAccess log,
            String address,
            Executor loop,
            LogServiceContact clocks,
            Metrics metrics) {
        List<IntakeAppender> appenders = new ArrayList<>();
        for (int i = 0; i < log.intakePartitions(); i++) {
            LogPartition partition = IntakeRequest.partition(i);
            appenders.add(new IntakeAppender(log.service(), partition, loop, clocks, metrics));
        }
        return new IntakePartitions(appenders, Math.floorMod(address.hashCode(), appenders.size()));
    }

    /**
     * Returns the preferred partition, or the next one that does not fail.
     *
     * @param tried the partitions to leave out
     * @return the partition; empty if all others fail
     */
    Optional<IntakeAppender> responding(Set<IntakeAppender> tried) {
        for (int i = 0; i < appenders.size(); i++) {
            int index = (preferred + i) % appenders.size();
            IntakeAppender appender = appenders.get(index);
            if (!appender.failing() && !tried.contains(appender)) {
                if (appenders.get(preferred).failing()) {
                    preferred = index;
                }
                return Optional.of(appender);
            }
        }
        return Optional.empty();
    }

    /** Returns all partitions except those that were tried. */
    List<IntakeAppender> except(Set<IntakeAppender> tried) {
        List<IntakeAppender> others = new ArrayList<>(appenders);
        others.removeAll(tried);
        return others;
    }
}
