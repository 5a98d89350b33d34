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
 * Holds the members that have announced themselves. Thread-safe.
 *
 * <p>An announcement with a higher incarnation of a member replaces one with a lower incarnation. A
 * lower incarnation is ignored, even for {@link #REMOVED_RETENTION_MILLIS} after the member was
 * removed, unless it keeps announcing itself while the higher one is silent: its clock was set back
 * before it started. A member that announces the address of another member replaces that member.
 * Times are in milliseconds of the monotonic clock.
 */
public final class MemberTable {
    /** The time without an announcement after which a member is suspected, in milliseconds. */
    public static final long SUSPECT_AFTER_MILLIS = 3_000L;

    /** The time without an announcement after which a member is removed, in milliseconds. */
    public static final long REMOVE_AFTER_MILLIS = 15_000L;

    /** The time for which the incarnation of a removed member is kept, in milliseconds. */
    public static final long REMOVED_RETENTION_MILLIS = 600_000L;

    private final Map<String, Announcement> announcements = new HashMap<>();
    private final Map<String, Long> lastHeardMillis = new HashMap<>();

    /** The removed members whose incarnation is still kept. */
    private final Map<String, RemovedMember> removed = new HashMap<>();

    /** The lower incarnations that announce themselves while the known ones are silent. */
    private final Map<String, LowerIncarnation> lowerIncarnations = new HashMap<>();

    private final long suspectAfterMillis;
    private final long removeAfterMillis;

    private record RemovedMember(long incarnation, long removedAtMillis) {}

    private record LowerIncarnation(long incarnation, long sinceMillis, long lastMillis) {}

    /** Creates an empty table with the default times. */
    public MemberTable() {
        this(SUSPECT_AFTER_MILLIS, REMOVE_AFTER_MILLIS);
    }

    /**
     * Creates an empty table.
     *
     * @param suspectAfterMillis the time without an announcement after which a member is suspected,
     *     at least 1
     * @param removeAfterMillis the time without an announcement after which a member is removed,
     *     not less than {@code suspectAfterMillis}
     * @throws IllegalArgumentException if a time is out of range
     */
    public MemberTable(long suspectAfterMillis, long removeAfterMillis) {
        if (suspectAfterMillis < 1 || removeAfterMillis < suspectAfterMillis) {
            throw new IllegalArgumentException(
                    "must be 1 <= suspectAfterMillis <= removeAfterMillis: "
                            + suspectAfterMillis
                            + ", "
                            + removeAfterMillis);
        }
        this.suspectAfterMillis = suspectAfterMillis;
        this.removeAfterMillis = removeAfterMillis;
    }

    /**
     * Records an announcement.
     *
     * @param announcement the announcement, not null
     * @param nowMillis the current time
     * @return false if the announcement was ignored because a higher incarnation of the member is
     *     known and not outlived
     */
    public synchronized boolean recordAnnouncement(Announcement announcement, long nowMillis) {
        Objects.requireNonNull(announcement, "announcement");
        String id = announcement.member();
        if (announcement.incarnation() < highestIncarnation(id)
                && !outlivesHigherIncarnation(announcement, nowMillis)) {
            return false;
        }
        lowerIncarnations.remove(id);
        removeOthersAt(announcement, nowMillis);
        removed.remove(id);
        announcements.put(id, announcement);
        lastHeardMillis.put(id, nowMillis);
        return true;
    }

    /**
     * Removes the members that have not announced themselves for the removal time.
     *
     * @param nowMillis the current time
     * @return the identifiers of the removed members, never null
     */
    public synchronized List<String> expire(long nowMillis) {
        List<String> silent =
                lastHeardMillis.entrySet().stream()
                        .filter(e -> nowMillis - e.getValue() >= removeAfterMillis)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        silent.forEach(id -> remove(id, nowMillis));
        removed.values().removeIf(r -> nowMillis - r.removedAtMillis() >= REMOVED_RETENTION_MILLIS);
        lowerIncarnations
                .values()
                .removeIf(lower -> nowMillis - lower.lastMillis() >= suspectAfterMillis);
        return silent;
    }

    /**
     * Finds a member.
     *
     * @param id the identifier, may be null
     * @param nowMillis the current time
     * @return the member, or empty if the member is not known or has not announced itself for the
     *     removal time
     */
    public synchronized Optional<Member> find(String id, long nowMillis) {
        return Optional.ofNullable(announcements.get(id))
                .map(a -> member(a, nowMillis))
                .filter(m -> nowMillis - m.lastHeardMillis() < removeAfterMillis);
    }

    /**
     * Returns the members of one kind, including suspected and leaving ones.
     *
     * @param kind the kind, not null
     * @param nowMillis the current time
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
     * Returns the entries, including suspected and leaving ones.
     *
     * @param nowMillis the current time
     * @return the entries in the order of their identifiers, never null
     */
    public List<Member> entries(long nowMillis) {
        return members(MemberKind.ENTRY, nowMillis);
    }

    /**
     * Returns the agents, including suspected and leaving ones.
     *
     * @param nowMillis the current time
     * @return the agents in the order of their identifiers, never null
     */
    public List<Member> agents(long nowMillis) {
        return members(MemberKind.AGENT, nowMillis);
    }

    /**
     * Returns the workers, including suspected and leaving ones.
     *
     * @param nowMillis the current time
     * @return the workers in the order of their identifiers, never null
     */
    public List<Member> workers(long nowMillis) {
        return members(MemberKind.WORKER, nowMillis);
    }

    private Member member(Announcement a, long nowMillis) {
        long lastHeard = lastHeardMillis.get(a.member());
        return new Member(a, lastHeard, state(a, nowMillis - lastHeard));
    }

    private MemberState state(Announcement a, long silentMillis) {
        if (a.leaving()) {
            return MemberState.LEAVING;
        }
        return silentMillis >= suspectAfterMillis ? MemberState.SUSPECT : MemberState.ALIVE;
    }

    /** Returns the known incarnation of a member; {@code Long.MIN_VALUE} if there is none. */
    private long highestIncarnation(String id) {
        Announcement known = announcements.get(id);
        if (known != null) {
            return known.incarnation();
        }
        RemovedMember removedMember = removed.get(id);
        return removedMember == null ? Long.MIN_VALUE : removedMember.incarnation();
    }

    /**
     * Tests whether a lower incarnation has announced itself, without a gap, for the time after
     * which a silent member is suspected, and the higher one has been silent all the while.
     */
    private boolean outlivesHigherIncarnation(Announcement announcement, long nowMillis) {
        String id = announcement.member();
        Long heardMillis = lastHeardMillis.get(id);
        boolean silent = heardMillis == null || nowMillis - heardMillis >= suspectAfterMillis;
        LowerIncarnation last = lowerIncarnations.get(id);
        boolean continues =
                silent
                        && last != null
                        && last.incarnation() == announcement.incarnation()
                        && nowMillis - last.lastMillis() < suspectAfterMillis;
        long sinceMillis = continues ? last.sinceMillis() : nowMillis;
        lowerIncarnations.put(
                id, new LowerIncarnation(announcement.incarnation(), sinceMillis, nowMillis));
        return nowMillis - sinceMillis >= suspectAfterMillis;
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
        Announcement last = announcements.remove(id);
        lastHeardMillis.remove(id);
        removed.put(id, new RemovedMember(last.incarnation(), nowMillis));
    }
}
