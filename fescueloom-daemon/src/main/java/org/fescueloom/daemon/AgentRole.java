package org.fescueloom.daemon;

/** Puts together the services of an agent. */
final class AgentRole {
    private AgentRole() {}

    static void install(Daemon daemon) {}
}
