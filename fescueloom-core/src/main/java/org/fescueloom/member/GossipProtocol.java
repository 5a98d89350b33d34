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
 * table. A member that leaves a probe unanswered twice is suspected. It counts as dead unless it
 * receives the suspicion and refutes it in time. Two members whose digests differ compare their
 * tables part by part, with a minimum interval between comparisons. From time to time a member
 * probes a dead member, so that separated parts of the system find each other again.
 *
 * <p>Not thread-safe. Times are in milliseconds of the monotonic clock.
 */
public final class GossipProtocol {
    /** The time between two probes, in milliseconds. */
    public static final long PERIOD_MILLIS = 1_000L;

    /** The maximum number of membership updates in one message. */
    public static final int MAX_UPDATES = 6;

    /** The minimum time between two table comparisons that this member starts, in milliseconds. */
    public static final long SYNC_INTERVAL_MILLIS = 5_000L;

    /** The number of periods between two probes of dead members. */
    public static final int GONE_PROBE_PERIODS = 10;

    /** The time for which the record of a dead or departed member is kept, in milliseconds. */
    public static final long GONE_RETENTION_MILLIS = 600_000L;

    private static final int SUSPICION_FACTOR = 3;

    private final GossipTable table = new GossipTable();
    private final Deque<String> probeOrder = new ArrayDeque<>();
    private final Random random;
    private MembershipRecord self;
    private long syncedAtMillis;
    private String unansweredProbe = "";
    private int periodCount;

    /**
     * Creates the protocol state of a member that knows only itself and the seed members.
     *
     * @param self the record of this member, not null
     * @param seeds records of some members to contact first, not null; any newer record of these
     *     members replaces them
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
     * members that have been dead or departed for the retention time, and chooses the member to
     * probe.
     *
     * @param nowMillis the current time
     * @return the member to probe, or empty if there is none
     */
    public Optional<MembershipRecord> nextProbe(long nowMillis) {
        periodCount++;
        expire(nowMillis);
        if (periodCount % GONE_PROBE_PERIODS == 0) {
            Optional<MembershipRecord> dead = randomDeadMember();
            if (dead.isPresent()) {
                return dead;
            }
        }
        for (int i = 0; i <= table.size(); i++) {
            if (probeOrder.isEmpty()) {
                refillProbeOrder();
            }
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
     * @return true if this member should start a table comparison with the sender now
     */
    public boolean receive(GossipMessage message, long nowMillis) {
        message.updates().forEach(e -> merge(e, nowMillis));
        if (unansweredProbe.equals(message.from())) {
            unansweredProbe = "";
        }
        MembershipRecord sender = table.get(message.from());
        boolean differs = message.digest() != table.digest() || sender == null;
        boolean due = nowMillis - syncedAtMillis >= SYNC_INTERVAL_MILLIS;
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
     * Starts a table comparison with another member.
     *
     * @param nowMillis the current time
     * @return the message to send, never null
     */
    public GossipSync beginSync(long nowMillis) {
        syncedAtMillis = nowMillis;
        return new GossipSync(table.digests(), List.of(self));
    }

    /**
     * Responds to a table comparison that another member started.
     *
     * @param sync the message of the other member, not null
     * @param nowMillis the current time
     * @return the digests of this member and the records that the other member may lack, never null
     */
    public GossipSync answerSync(GossipSync sync, long nowMillis) {
        List<MembershipRecord> differing = table.recordsInDifferingParts(sync.digests());
        mergeRecords(sync.entries(), nowMillis);
        return new GossipSync(table.digests(), differing);
    }

    /**
     * Finishes a table comparison that this member started.
     *
     * @param answer the response of the other member, not null
     * @param nowMillis the current time
     * @return the records that the other member may lack, to be sent to it and passed to {@link
     *     #mergeRecords} there; may be empty
     */
    public List<MembershipRecord> finishSync(GossipSync answer, long nowMillis) {
        List<MembershipRecord> mine = table.recordsInDifferingParts(answer.digests());
        mergeRecords(answer.entries(), nowMillis);
        return mine.stream().filter(e -> !answer.entries().contains(e)).toList();
    }

    /**
     * Merges records of another member without spreading them further as updates.
     *
     * @param records the records, not null
     * @param nowMillis the current time
     */
    public void mergeRecords(List<MembershipRecord> records, long nowMillis) {
        for (MembershipRecord e : records) {
            if (e.id().equals(self.id())) {
                refute(e, nowMillis);
            } else {
                table.mergeWithoutSpreading(e, nowMillis);
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
     * Returns the members that are neither dead nor departed.
     *
     * @return the records of the members in the order of the identifiers, never null
     */
    public List<MembershipRecord> members() {
        return table.all().stream().filter(e -> !e.status().isGone()).toList();
    }

    private void merge(MembershipRecord update, long nowMillis) {
        if (update.id().equals(self.id())) {
            refute(update, nowMillis);
        } else {
            table.merge(update, nowMillis);
        }
    }

    private void refute(MembershipRecord update, long nowMillis) {
        if (self.status() == GossipStatus.ALIVE && update.supersedes(self)) {
            self = update.refutation();
            table.merge(self, nowMillis);
        }
    }

    private void expire(long nowMillis) {
        long suspicionTimeoutMillis =
                PERIOD_MILLIS * SUSPICION_FACTOR * GossipTable.ceilLog2(table.size() + 1);
        for (MembershipRecord e : new ArrayList<>(table.all())) {
            long age = nowMillis - table.changedAt(e.id());
            if (e.status() == GossipStatus.SUSPECT && age >= suspicionTimeoutMillis) {
                table.merge(e.withStatus(GossipStatus.DEAD), nowMillis);
            } else if (e.status().isGone()
                    && age >= GONE_RETENTION_MILLIS
                    && !e.id().equals(self.id())) {
                table.remove(e.id());
            }
        }
    }

    private Optional<MembershipRecord> randomDeadMember() {
        List<MembershipRecord> dead =
                table.all().stream().filter(e -> e.status() == GossipStatus.DEAD).toList();
        return dead.isEmpty()
                ? Optional.empty()
                : Optional.of(dead.get(random.nextInt(dead.size())));
    }

    private void refillProbeOrder() {
        List<String> ids = new ArrayList<>();
        for (MembershipRecord e : table.all()) {
            if (!e.status().isGone() && !e.id().equals(self.id())) {
                ids.add(e.id());
            }
        }
        Collections.shuffle(ids, random);
        probeOrder.addAll(ids);
    }
}
