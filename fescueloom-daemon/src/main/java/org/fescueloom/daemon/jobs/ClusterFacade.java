package org.fescueloom.daemon.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.cluster.Cluster;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.member.Member;
import org.fescueloom.member.MemberState;

/**
 * Gives the classes of this package access to the entries, workers, configuration and zone gate of
 * the cluster.
 */
public final class ClusterFacade {
    private final Cluster cluster;

    /**
     * Creates the facade.
     *
     * @param cluster the cluster, not null
     */
    public ClusterFacade(Cluster cluster) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
    }

    /**
     * Returns the entries that are alive and not leaving, and always this entry.
     *
     * @return the identifiers of the entries in alphabetical order, never null
     */
    public List<String> liveEntryIds() {
        List<String> ids =
                new ArrayList<>(
                        cluster.members().entries(Clocks.monotonicMillis()).stream()
                                .filter(e -> e.state() == MemberState.ALIVE)
                                .map(Member::id)
                                .toList());
        if (!ids.contains(cluster.memberId())) {
            ids.add(cluster.memberId());
        }
        ids.sort(null);
        return ids;
    }

    /**
     * Returns the workers that have announced themselves.
     *
     * @return the workers, never null; a lost worker is contained until the member table removes it
     */
    public List<Member> workers() {
        return cluster.members().workers(Clocks.monotonicMillis());
    }

    /**
     * Finds a worker by its identifier.
     *
     * @param workerId the identifier of the worker, not null
     * @return the worker, or empty if the worker is not known
     */
    public Optional<Member> findWorker(String workerId) {
        return cluster.members().find(workerId, Clocks.monotonicMillis());
    }

    /**
     * Finds the address of a member by the identifier of the member.
     *
     * @param memberId the identifier of the member, not null
     * @return the address in the form "address:port", or empty if the member is not known
     */
    public Optional<String> findAddress(String memberId) {
        return findWorker(memberId).map(m -> m.announcement().address());
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration document, never null
     */
    public ConfigurationDocument configuration() {
        return cluster.configurationView().document();
    }

    /**
     * Throws an exception unless tasks may start on a worker now.
     *
     * @param workerId the identifier of the worker, not null
     * @throws SchedulerException with type {@code WORKER_UNREACHABLE} if the worker is not known,
     *     {@code ZONE_OUT} if the zone of the worker is out of service, or {@code ZONE_VIEW_STALE}
     *     if this process cannot prove that its view of the zones is recent
     */
    public void requireStartAllowed(String workerId) {
        Member member =
                findWorker(workerId)
                        .orElseThrow(
                                () ->
                                        new SchedulerException(
                                                FailureType.WORKER_UNREACHABLE,
                                                "worker " + workerId + " is not known"));
        cluster.zoneGate().check(member.announcement().zone(), Clocks.monotonicMillis());
    }
}
