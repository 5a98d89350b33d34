package org.fescueloom.daemon;

/** Puts together the services of an entry. */
final class EntryRole {
    private EntryRole() {}

    static void install(Daemon daemon) {}
}
