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

/** Gives the job path what it needs of the cluster: live entries, workers, the zone gate. */
public final class ClusterFacade {
    private final Cluster cluster;

    /**
     * Creates the view.
     *
     * @param cluster the cluster, not null
     */
    public ClusterFacade(Cluster cluster) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
    }

    /**
     * Lists the live entries that are not leaving, this one too.
     *
     * @return the identifiers in alphabetical order, never null
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
     * Lists the workers that have announced themselves.
     *
     * @return the workers, lost ones too for a while, never null
     */
    public List<Member> workers() {
        return cluster.members().workers(Clocks.monotonicMillis());
    }

    /**
     * Finds a worker.
     *
     * @param findWorker the identifier, not null
     * @return the worker, or empty if it is not known
     */
    public Optional<Member> findWorker(String workerId) {
        return cluster.members().find(workerId, Clocks.monotonicMillis());
    }

    /**
     * Finds the address of a member.
     *
     * @param member the identifier, not null
     * @return the "address:port", or empty if the member is not known
     */
    public Optional<String> findAddress(String memberId) {
        return findWorker(memberId).map(m -> m.announcement().address());
    }

    /**
     * Returns the configuration in force.
     *
     * @return the document, never null
     */
    public ConfigurationDocument configuration() {
        return cluster.configurationView().document();
    }

    /**
     * Passes if work may start on a worker now.
     *
     * @param findWorker the identifier, not null
     * @throws SchedulerException with type {@code ZONE_OUT}, {@code ZONE_VIEW_STALE} or {@code
     *     WORKER_UNREACHABLE} if not
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
