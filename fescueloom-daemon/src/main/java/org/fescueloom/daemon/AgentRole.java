package org.fescueloom.daemon;

import org.fescueloom.daemon.agent.AgentService;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.cluster.Cluster;
import org.fescueloom.daemon.jobs.JobSystem;

/** Creates the services of an agent and adds them to its daemon. */
final class AgentRole {
    private AgentRole() {}

    static void addServices(Daemon daemon) {
        Cluster cluster = new Cluster(daemon.settings(), daemon.metrics());
        JobSystem jobs = new JobSystem(cluster, daemon.metrics());
        LeavingAnnouncer leavingAnnouncer = new LeavingAnnouncer(cluster);
        AgentService agent =
                new AgentService(
                        cluster.incarnation(),
                        () -> cluster.zoneGate().check(cluster.zone(), Clocks.monotonicMillis()),
                        () -> cluster.configurationView().document(),
                        daemon.metrics(),
                        leavingAnnouncer);
        leavingAnnouncer.setAgent(agent);
        cluster.setAgentStatus(agent::status);
        daemon.addService(jobs);
        jobs.addAgentServices(daemon);
        daemon.addService(agent);
        daemon.addService(cluster);
    }

    /**
     * Announces to the entries that the agent stops or resumes accepting attempts.
     *
     * <p>The agent takes this object in its constructor; {@link #setAgent} must be called before
     * the first {@link #run}.
     */
    private static final class LeavingAnnouncer implements Runnable {
        private final Cluster cluster;
        private volatile AgentService agent;

        LeavingAnnouncer(Cluster cluster) {
            this.cluster = cluster;
        }

        void setAgent(AgentService service) {
            agent = service;
        }

        @Override
        public void run() {
            cluster.setLeaving(agent.isLeaving());
        }
    }
}
