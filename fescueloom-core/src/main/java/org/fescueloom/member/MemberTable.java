package org.fescueloom.member;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.MemberKind;

/**
 * Keeps the members that have announced themselves. Can be used by many threads.
 *
 * <p>A higher incarnation of a member replaces a lower one; a lower one is ignored, also for a
 * while after the member was removed. A member that takes over the address of another one replaces
 * it. Times are in milliseconds of the monotonic clock.
 */
public final class MemberTable {
    /** The time without an announcement after which a member is suspected. */
    public static final long SUSPECT_AFTER_MILLIS = 3_000L;

    /** The time without an announcement after which a member is removed. */
    public static final long REMOVE_AFTER_MILLIS = 15_000L;

    /** The time for which the incarnation of a removed member is remembered. */
    public static final long REMOVED_RETENTION_MILLIS = 600_000L;

    private final Map<String, Announcement> announcements = new HashMap<>();
    private final Map<String, Long> heardAt = new HashMap<>();
    private final Map<String, Removed> removed = new HashMap<>();
    private final long suspectAfterMillis;
    private final long removeAfterMillis;

    private record Removed(long incarnation, long atMillis) {}

    /** Creates an empty table with the usual times. */
    public MemberTable() {
        this(SUSPECT_AFTER_MILLIS, REMOVE_AFTER_MILLIS);
    }

    /**
     * Creates an empty table.
     *
     * @param suspectAfterMillis the time without an announcement after which a member is suspected
     * @param removeAfterMillis the time without an announcement after which a member is removed
     * @throws IllegalArgumentException if the times are not positive or not in this order
     */
    public MemberTable(long suspectAfterMillis, long removeAfterMillis) {
        if (suspectAfterMillis < 1 || removeAfterMillis < suspectAfterMillis) {
            throw new IllegalArgumentException(
                    "times out of range: " + suspectAfterMillis + ", " + removeAfterMillis);
        }
        this.suspectAfterMillis = suspectAfterMillis;
        this.removeAfterMillis = removeAfterMillis;
    }

    /**
     * Takes an announcement.
     *
     * @param announcement the announcement, not null
     * @param nowMillis the time now
     * @return false if it was ignored, because a higher incarnation of the member is known
     */
    public synchronized boolean recordAnnouncement(Announcement announcement, long nowMillis) {
        Objects.requireNonNull(announcement, "announcement");
        String id = announcement.member();
        if (announcement.incarnation() < highestIncarnation(id)) {
            return false;
        }
        removeOthersAt(announcement, nowMillis);
        removed.remove(id);
        announcements.put(id, announcement);
        heardAt.put(id, nowMillis);
        return true;
    }

    /**
     * Removes the members that have been silent for too long.
     *
     * @param nowMillis the time now
     * @return the identifiers of the removed members, never null
     */
    public synchronized List<String> expire(long nowMillis) {
        List<String> silent =
                heardAt.entrySet().stream()
                        .filter(e -> nowMillis - e.getValue() >= removeAfterMillis)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        silent.forEach(id -> remove(id, nowMillis));
        removed.values().removeIf(r -> nowMillis - r.atMillis() >= REMOVED_RETENTION_MILLIS);
        return silent;
    }

    /**
     * Finds a member.
     *
     * @param id the identifier, may be null
     * @param nowMillis the time now
     * @return the member, or empty if it is not known or was silent for too long
     */
    public synchronized Optional<Member> find(String id, long nowMillis) {
        return Optional.ofNullable(announcements.get(id))
                .map(a -> member(a, nowMillis))
                .filter(m -> nowMillis - m.lastHeardMillis() < removeAfterMillis);
    }

    /**
     * Lists the members of one kind, suspected and leaving ones too.
     *
     * @param kind the kind, not null
     * @param nowMillis the time now
     * @return the members in the order of their identifiers, never null
     */
    public synchronized List<Member> members(MemberKind kind, long nowMillis) {
        Objects.requireNonNull(kind, "kind");
        return announcements.values().stream()
                .filter(a -> a.kind() == kind)
                .map(a -> member(a, nowMillis))
                .filter(m -> nowMillis - m.lastHeardMillis() < removeAfterMillis)
                .sorted(Comparator.comparing(Member::id))
                .toList();
    }

    /**
     * Lists the entries, suspected and leaving ones too.
     *
     * @param nowMillis the time now
     * @return the entries in the order of their identifiers, never null
     */
    public List<Member> entries(long nowMillis) {
        return members(MemberKind.ENTRY, nowMillis);
    }

    /**
     * Lists the agents, suspected and leaving ones too.
     *
     * @param nowMillis the time now
     * @return the agents in the order of their identifiers, never null
     */
    public List<Member> agents(long nowMillis) {
        return members(MemberKind.AGENT, nowMillis);
    }

    /**
     * Lists the workers, suspected and leaving ones too.
     *
     * @param nowMillis the time now
     * @return the workers in the order of their identifiers, never null
     */
    public List<Member> workers(long nowMillis) {
        return members(MemberKind.WORKER, nowMillis);
    }

    private Member member(Announcement a, long nowMillis) {
        long heard = heardAt.get(a.member());
        return new Member(a, heard, state(a, nowMillis - heard));
    }

    private MemberState state(Announcement a, long silentMillis) {
        if (a.leaving()) {
            return MemberState.LEAVING;
        }
        return silentMillis >= suspectAfterMillis ? MemberState.SUSPECT : MemberState.ALIVE;
    }

    private long highestIncarnation(String id) {
        Announcement known = announcements.get(id);
        if (known != null) {
            return known.incarnation();
        }
        Removed gone = removed.get(id);
        return gone == null ? Long.MIN_VALUE : gone.incarnation();
    }

    private void removeOthersAt(Announcement announcement, long nowMillis) {
        List<String> others =
                announcements.values().stream()
                        .filter(a -> a.address().equals(announcement.address()))
                        .map(Announcement::member)
                        .filter(id -> !id.equals(announcement.member()))
                        .toList();
        others.forEach(id -> remove(id, nowMillis));
    }

    private void remove(String id, long nowMillis) {
        Announcement gone = announcements.remove(id);
        heardAt.remove(id);
        removed.put(id, new Removed(gone.incarnation(), nowMillis));
    }
}
