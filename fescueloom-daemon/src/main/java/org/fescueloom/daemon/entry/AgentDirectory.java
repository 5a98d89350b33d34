package org.fescueloom.daemon.entry;

import java.util.List;

/** Tells which agents are alive and take new work. */
@FunctionalInterface
public interface AgentDirectory {
    /**
     * Lists the agents that can be sent new work; those that are silent, leaving or in a zone that
     * is out of service are left out.
     *
     * @return the agents, never null
     */
    List<AgentView> usableAgents();
}
