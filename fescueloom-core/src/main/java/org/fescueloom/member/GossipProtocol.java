package org.fescueloom.member;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import org.fescueloom.wire.ConfigStatus;

/**
 * Maintains the membership by a gossip protocol whose cost per member does not grow with the number
 * of members.
 *
 * <p>In each period a member probes one other member, in a random order that covers all members. A
 * probe and its response carry a bounded number of membership updates and a digest of the whole
 * table. A member that does not respond to two probes in succession is suspected. The suspected
 * member counts as dead unless the member learns of the suspicion and refutes the suspicion in
 * time. Two members whose digests differ compare their tables part by part (a sync), with a minimum
 * interval between comparisons. From time to time a member probes a dead member, so that the two
 * sides of a network partition find each other again after the partition has ended.
 *
 * <p>Not thread-safe. Times are in milliseconds of the monotonic clock.
 */
public final class GossipProtocol {
    /** The time between two probes, in milliseconds. */
    public static final long PERIOD_MILLIS = 1_000L;

    /** The maximum number of membership updates in one message. */
    public static final int MAX_UPDATES = 6;

    /** The minimum time between two syncs that this member starts, in milliseconds. */
    public static final long SYNC_INTERVAL_MILLIS = 5_000L;

    /** The number of periods between two probes of dead members. */
    public static final int DEAD_PROBE_PERIODS = 10;

    /**
     * The time for which the record of a member that is dead or has left is kept, in milliseconds.
     */
    public static final long GONE_RETENTION_MILLIS = 600_000L;

    /**
     * The time to refute a suspicion, in periods, is this factor times the binary logarithm of the
     * number of members.
     */
    private static final int SUSPICION_FACTOR = 3;

    private final GossipTable table = new GossipTable();
    private final Deque<String> probeOrder = new ArrayDeque<>();
    private final Random random;
    private MembershipRecord self;
    private long lastSyncStartMillis;

    /** The identifier of the member that did not respond to the last probe; empty if none. */
    private String unansweredProbe = "";

    private int periodCount;

    /**
     * Creates the protocol state of a member that knows only itself and the seed members.
     *
     * @param self the record of this member, not null
     * @param seeds records of some members to contact first, not null; a newer record of the same
     *     member replaces the given one
     * @param random the source of the probe order, not null
     */
    public GossipProtocol(MembershipRecord self, List<MembershipRecord> seeds, Random random) {
        this.self = Objects.requireNonNull(self, "self");
        this.random = Objects.requireNonNull(random, "random");
        table.merge(self, 0L);
        seeds.forEach(s -> table.merge(s, 0L));
    }

    /**
     * Starts a period: marks suspected members as dead when their time to refute is over, removes
     * records of members that have been dead or have left for the retention time, and chooses the
     * member to probe.
     *
     * @param nowMillis the current time
     * @return the member to probe, or empty if there is none
     */
    public Optional<MembershipRecord> nextProbe(long nowMillis) {
        periodCount++;
        expire(nowMillis);
        if (periodCount % DEAD_PROBE_PERIODS == 0) {
            Optional<MembershipRecord> dead = randomDeadMember();
            if (dead.isPresent()) {
                return dead;
            }
        }
        for (int i = 0; i <= table.size(); i++) {
            if (probeOrder.isEmpty()) {
                refillProbeOrder();
            }
            // The probe order may contain members that have died, left or been removed since the
            // shuffle.
            MembershipRecord next = probeOrder.isEmpty() ? null : table.get(probeOrder.poll());
            if (next != null && !next.status().isGone()) {
                return Optional.of(next);
            }
        }
        return Optional.empty();
    }

    /**
     * Creates a probe or the response to a probe.
     *
     * @param config the configuration status of this process; null if there is none
     * @return the message, never null
     */
    public GossipMessage createMessage(ConfigStatus config) {
        return new GossipMessage(self.id(), table.digest(), table.takeUpdates(MAX_UPDATES), config);
    }

    /**
     * Handles a received probe or response.
     *
     * @param message the message, not null
     * @param nowMillis the current time
     * @return true if this member should start a sync with the sender now
     */
    public boolean receive(GossipMessage message, long nowMillis) {
        message.updates().forEach(r -> merge(r, nowMillis));
        if (unansweredProbe.equals(message.from())) {
            unansweredProbe = "";
        }
        MembershipRecord sender = table.get(message.from());
        // An unknown sender means that the tables differ, even if their digests are equal.
        boolean differs = message.digest() != table.digest() || sender == null;
        boolean due = nowMillis - lastSyncStartMillis >= SYNC_INTERVAL_MILLIS;
        return differs && due;
    }

    /**
     * Records that a member did not respond to a probe.
     *
     * <p>The member is probed again in the next period and is suspected if it does not respond to
     * the second probe.
     *
     * @param id the identifier of the member, not null
     * @param nowMillis the current time
     */
    public void probeFailed(String id, long nowMillis) {
        MembershipRecord known = table.get(id);
        if (known == null || known.status() != GossipStatus.ALIVE) {
            return;
        }
        if (!unansweredProbe.equals(id)) {
            unansweredProbe = id;
            probeOrder.addFirst(id);
        } else {
            unansweredProbe = "";
            merge(known.withStatus(GossipStatus.SUSPECT), nowMillis);
        }
    }

    /**
     * Starts a sync with another member.
     *
     * @param nowMillis the current time
     * @return the message to send, never null
     */
    public GossipSync beginSync(long nowMillis) {
        lastSyncStartMillis = nowMillis;
        // The record of this member makes this member known to the receiver.
        return new GossipSync(table.digests(), List.of(self));
    }

    /**
     * Responds to a sync that another member started.
     *
     * @param sync the message of the other member, not null
     * @param nowMillis the current time
     * @return the digests of this member and the records that the other member may lack, never null
     */
    public GossipSync answerSync(GossipSync sync, long nowMillis) {
        // The records are selected before the merge, the digests are those after the merge.
        List<MembershipRecord> differing = table.recordsInDifferingParts(sync.digests());
        mergeRecords(sync.entries(), nowMillis);
        return new GossipSync(table.digests(), differing);
    }

    /**
     * Finishes a sync that this member started.
     *
     * @param answer the response of the other member, not null
     * @param nowMillis the current time
     * @return the records that the other member may lack, to be sent to the other member, which
     *     passes them to {@link #mergeRecords}; may be empty
     */
    public List<MembershipRecord> finishSync(GossipSync answer, long nowMillis) {
        List<MembershipRecord> mine = table.recordsInDifferingParts(answer.digests());
        mergeRecords(answer.entries(), nowMillis);
        return mine.stream().filter(r -> !answer.entries().contains(r)).toList();
    }

    /**
     * Merges records of another member without spreading them further as updates.
     *
     * @param records the records, not null
     * @param nowMillis the current time
     */
    public void mergeRecords(List<MembershipRecord> records, long nowMillis) {
        for (MembershipRecord r : records) {
            if (r.id().equals(self.id())) {
                refute(r, nowMillis);
            } else {
                table.mergeWithoutSpreading(r, nowMillis);
            }
        }
    }

    /**
     * Announces that this member takes no new work.
     *
     * @param nowMillis the current time
     */
    public void leave(long nowMillis) {
        self = self.withStatus(GossipStatus.LEFT);
        table.merge(self, nowMillis);
    }

    /**
     * Finds the record of a member.
     *
     * @param id the identifier, not null
     * @return the record, or empty if the member is not known
     */
    public Optional<MembershipRecord> find(String id) {
        return Optional.ofNullable(table.get(id));
    }

    /**
     * Returns the members that are neither dead nor have left.
     *
     * @return the records of the members in the order of the identifiers, never null
     */
    public List<MembershipRecord> members() {
        return table.all().stream().filter(r -> !r.status().isGone()).toList();
    }

    private void merge(MembershipRecord update, long nowMillis) {
        if (update.id().equals(self.id())) {
            refute(update, nowMillis);
        } else {
            table.merge(update, nowMillis);
        }
    }

    /**
     * Refutes a newer record of this member that another member has sent, by a record with a higher
     * sequence number. A member that has left does not refute.
     */
    private void refute(MembershipRecord update, long nowMillis) {
        if (self.status() == GossipStatus.ALIVE && update.supersedes(self)) {
            self = update.refutation();
            table.merge(self, nowMillis);
        }
    }

    private void expire(long nowMillis) {
        // Grows with the number of members like the number of times that an update is sent.
        long suspicionTimeoutMillis =
                PERIOD_MILLIS * SUSPICION_FACTOR * GossipTable.ceilLog2(table.size() + 1);
        for (MembershipRecord r : new ArrayList<>(table.all())) {
            long ageMillis = nowMillis - table.changedAtMillis(r.id());
            if (r.status() == GossipStatus.SUSPECT && ageMillis >= suspicionTimeoutMillis) {
                table.merge(r.withStatus(GossipStatus.DEAD), nowMillis);
            } else if (r.status().isGone()
                    && ageMillis >= GONE_RETENTION_MILLIS
                    && !r.id().equals(self.id())) {
                table.remove(r.id());
            }
        }
    }

    private Optional<MembershipRecord> randomDeadMember() {
        List<MembershipRecord> dead =
                table.all().stream().filter(r -> r.status() == GossipStatus.DEAD).toList();
        return dead.isEmpty()
                ? Optional.empty()
                : Optional.of(dead.get(random.nextInt(dead.size())));
    }

    private void refillProbeOrder() {
        List<String> ids = new ArrayList<>();
        for (MembershipRecord r : table.all()) {
            if (!r.status().isGone() && !r.id().equals(self.id())) {
                ids.add(r.id());
            }
        }
        Collections.shuffle(ids, random);
        probeOrder.addAll(ids);
    }
}
