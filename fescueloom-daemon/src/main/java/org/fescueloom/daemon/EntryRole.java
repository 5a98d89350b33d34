package org.fescueloom.daemon;

import java.util.List;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.cluster.Cluster;
import org.fescueloom.daemon.entry.RequestService;
import org.fescueloom.daemon.jobs.JobOperatorHooks;
import org.fescueloom.daemon.jobs.JobSystem;

/** Creates the services of an entry and adds them to its daemon. */
final class EntryRole {
    private EntryRole() {}

    static void addServices(Daemon daemon) {
        Cluster cluster = new Cluster(daemon.settings(), daemon.metrics());
        JobSystem jobs = new JobSystem(cluster, daemon.metrics());
        RequestService requests =
                new RequestService(
                        cluster.memberId(),
                        cluster.incarnation(),
                        cluster.zone(),
                        () -> cluster.members().agents(Clocks.monotonicMillis()),
                        () -> cluster.configurationView().document(),
                        daemon.metrics());
        cluster.setOperatorHooks(new JobOperatorHooks(jobs));
        daemon.addService(jobs);
        jobs.addEntryServices(daemon);
        daemon.addService(requests);
        daemon.addService(new ExplanationRoutes(List.of(jobs::explain, requests::explain)));
        daemon.addService(cluster);
    }
}
