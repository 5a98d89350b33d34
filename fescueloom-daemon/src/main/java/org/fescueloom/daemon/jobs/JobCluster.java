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
public final class JobCluster {
    private final Cluster cluster;

    /**
     * Creates the view.
     *
     * @param cluster the cluster, not null
     */
    public JobCluster(Cluster cluster) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
    }

    /**
     * Lists the live entries that are not leaving, this one too.
     *
     * @return the identifiers in alphabetical order, never null
     */
    public List<String> liveEntries() {
        List<String> live =
                new ArrayList<>(
                        cluster.members().entries(Clocks.monotonicMillis()).stream()
                                .filter(e -> e.state() == MemberState.ALIVE)
                                .map(Member::id)
                                .toList());
        if (!live.contains(cluster.member())) {
            live.add(cluster.member());
        }
        live.sort(null);
        return live;
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
     * @param worker the identifier, not null
     * @return the worker, or empty if it is not known
     */
    public Optional<Member> worker(String worker) {
        return cluster.members().find(worker, Clocks.monotonicMillis());
    }

    /**
     * Finds the address of a member.
     *
     * @param member the identifier, not null
     * @return the "address:port", or empty if the member is not known
     */
    public Optional<String> address(String member) {
        return worker(member).map(m -> m.announcement().address());
    }

    /**
     * Returns the configuration in force.
     *
     * @return the document, never null
     */
    public ConfigurationDocument document() {
        return cluster.view().document();
    }

    /**
     * Passes if work may start on a worker now.
     *
     * @param worker the identifier, not null
     * @throws SchedulerException with type {@code ZONE_OUT}, {@code ZONE_VIEW_STALE} or {@code
     *     WORKER_UNREACHABLE} if not
     */
    public void requireStart(String worker) {
        Member member =
                worker(worker)
                        .orElseThrow(
                                () ->
                                        new SchedulerException(
                                                FailureType.WORKER_UNREACHABLE,
                                                "worker " + worker + " is not known"));
        cluster.zoneGate().check(member.announcement().zone(), Clocks.monotonicMillis());
    }
}
