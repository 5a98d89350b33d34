package org.fescueloom.daemon;

import org.fescueloom.daemon.agent.AgentService;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.cluster.Cluster;
import org.fescueloom.daemon.jobs.JobSystem;

/** Puts together the services of an agent. */
final class AgentRole {
    private AgentRole() {}

    static void install(Daemon daemon) {
        Cluster cluster = new Cluster(daemon.settings(), daemon.metrics());
        JobSystem jobs = new JobSystem(cluster, daemon.metrics());
        LeavingSignal signal = new LeavingSignal(cluster);
        AgentService agent =
                new AgentService(
                        cluster.incarnation(),
                        () -> cluster.zoneGate().check(cluster.zone(), Clocks.monotonicMillis()),
                        () -> cluster.view().document(),
                        daemon.metrics(),
                        signal);
        signal.follow(agent);
        cluster.setAgentStatus(agent::status);
        daemon.add(jobs);
        jobs.installAgent(daemon);
        daemon.add(agent);
        daemon.add(cluster);
    }

    /** Tells the entries when the agent stops or begins again to take attempts. */
    private static final class LeavingSignal implements Runnable {
        private final Cluster cluster;
        private volatile AgentService agent;

        LeavingSignal(Cluster cluster) {
            this.cluster = cluster;
        }

        void follow(AgentService service) {
            agent = service;
        }

        @Override
        public void run() {
            cluster.setLeaving(agent.isLeaving());
        }
    }
}
