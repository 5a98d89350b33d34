package org.fescueloom.daemon;

import java.util.List;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.cluster.Cluster;
import org.fescueloom.daemon.entry.RequestService;
import org.fescueloom.daemon.jobs.JobOperatorHooks;
import org.fescueloom.daemon.jobs.JobSystem;

/** Puts together the services of an entry. */
final class EntryRole {
    private EntryRole() {}

    static void install(Daemon daemon) {
        Cluster cluster = new Cluster(daemon.settings(), daemon.metrics());
        JobSystem jobs = new JobSystem(cluster, daemon.metrics());
        RequestService requests =
                new RequestService(
                        cluster.member(),
                        cluster.incarnation(),
                        cluster.zone(),
                        () -> cluster.members().agents(Clocks.monotonicMillis()),
                        () -> cluster.view().document(),
                        daemon.metrics());
        cluster.setOperatorHooks(new JobOperatorHooks(jobs));
        daemon.add(jobs);
        jobs.installEntry(daemon);
        daemon.add(requests);
        daemon.add(new ExplainRoutes(List.of(jobs::explain, requests::explain)));
        daemon.add(cluster);
    }
}
