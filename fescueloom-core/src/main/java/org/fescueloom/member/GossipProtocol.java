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
 * Keeps the membership at a cost for each member that does not grow with their number.
 *
 * <p>Once in a period a member probes one other one, each in turn in a random order. A probe and
 * its answer carry a bounded number of news and a digest of the whole table. A member that does not
 * answer is suspected; it refutes this when it hears of it, and counts as dead otherwise. Two
 * members whose digests differ for longer compare their tables part by part. Now and then a member
 * probes one that counts as gone, so that parts of the system that lost each other meet again.
 *
 * <p>Used by one thread; times are in milliseconds of the monotonic clock.
 */
public final class GossipProtocol {
    /** The time between two probes, in milliseconds. */
    public static final long PERIOD_MILLIS = 1_000L;

    /** The most news in one message. */
    public static final int MAX_UPDATES = 6;

    /** The shortest time between two comparisons of tables that this member begins. */
    public static final long SYNC_INTERVAL_MILLIS = 5_000L;

    /** The number of periods between two probes of members that count as gone. */
    public static final int GONE_PROBE_PERIODS = 10;

    /** The time for which a member that is gone is remembered. */
    public static final long GONE_RETENTION_MILLIS = 600_000L;

    private static final int SUSPICION_FACTOR = 3;

    private final GossipTable table = new GossipTable();
    private final Deque<String> probeOrder = new ArrayDeque<>();
    private final Random random;
    private MembershipRecord self;
    private long syncedAtMillis;
    private String missed = "";
    private int periods;

    /**
     * Creates a member that knows only itself and those that it can start from.
     *
     * @param self this member, not null
     * @param seeds some members to start from, not null; what is said of them here is the least
     *     that can be known
     * @param random the source of the probe order, not null
     */
    public GossipProtocol(MembershipRecord self, List<MembershipRecord> seeds, Random random) {
        this.self = Objects.requireNonNull(self, "self");
        this.random = Objects.requireNonNull(random, "random");
        table.merge(self, 0L);
        seeds.forEach(s -> table.merge(s, 0L));
    }

    /**
     * Chooses the member to probe in this period and takes out those that are gone for long.
     *
     * @param nowMillis the time now
     * @return the member, or empty if there is no other
     */
    public Optional<MembershipRecord> nextProbe(long nowMillis) {
        periods++;
        expire(nowMillis);
        if (periods % GONE_PROBE_PERIODS == 0) {
            Optional<MembershipRecord> gone = randomGone();
            if (gone.isPresent()) {
                return gone;
            }
        }
        for (int i = 0; i <= table.size(); i++) {
            if (probeOrder.isEmpty()) {
                shuffle();
            }
            MembershipRecord next = probeOrder.isEmpty() ? null : table.get(probeOrder.poll());
            if (next != null && !next.status().isGone()) {
                return Optional.of(next);
            }
        }
        return Optional.empty();
    }

    /**
     * Creates a probe or an answer.
     *
     * @param config this process's view of the configuration; null if it has none
     * @return the message, never null
     */
    public GossipMessage createMessage(ConfigStatus config) {
        return new GossipMessage(self.id(), table.digest(), table.takeUpdates(MAX_UPDATES), config);
    }

    /**
     * Takes a probe or an answer.
     *
     * @param createMessage the message, not null
     * @param nowMillis the time now
     * @return whether the tables should be compared with the sender's now
     */
    public boolean receive(GossipMessage message, long nowMillis) {
        message.updates().forEach(e -> merge(e, nowMillis));
        if (missed.equals(message.from())) {
            missed = "";
        }
        MembershipRecord sender = table.get(message.from());
        boolean differs = message.digest() != table.digest() || sender == null;
        boolean due = nowMillis - syncedAtMillis >= SYNC_INTERVAL_MILLIS;
        return differs && due;
    }

    /**
     * Learns that a member did not answer a probe.
     *
     * <p>The member is probed again in the next period, and suspected if it does not answer then.
     *
     * @param id the identifier of the member, not null
     * @param nowMillis the time now
     */
    public void probeFailed(String id, long nowMillis) {
        MembershipRecord known = table.get(id);
        if (known == null || known.status() != GossipStatus.ALIVE) {
            return;
        }
        if (!missed.equals(id)) {
            missed = id;
            probeOrder.addFirst(id);
        } else {
            missed = "";
            merge(known.withStatus(GossipStatus.SUSPECT), nowMillis);
        }
    }

    /**
     * Begins to compare the tables with another member's.
     *
     * @param nowMillis the time now
     * @return what to send, never null
     */
    public GossipSync beginSync(long nowMillis) {
        syncedAtMillis = nowMillis;
        return new GossipSync(table.digests(), List.of(self));
    }

    /**
     * Answers a comparison of tables.
     *
     * @param sync what the other member sent, not null
     * @param nowMillis the time now
     * @return the digests and the entries of this member that the other may lack, never null
     */
    public GossipSync answerSync(GossipSync sync, long nowMillis) {
        List<MembershipRecord> differing = table.recordsInDifferingParts(sync.digests());
        mergeRecords(sync.entries(), nowMillis);
        return new GossipSync(table.digests(), differing);
    }

    /**
     * Ends a comparison of tables.
     *
     * @param answer the answer of the other member, not null
     * @param nowMillis the time now
     * @return what the other member may lack, to be sent to it with {@link #mergeRecords}; may be
     *     empty
     */
    public List<MembershipRecord> finishSync(GossipSync answer, long nowMillis) {
        List<MembershipRecord> mine = table.recordsInDifferingParts(answer.digests());
        mergeRecords(answer.entries(), nowMillis);
        return mine.stream().filter(e -> !answer.entries().contains(e)).toList();
    }

    /**
     * Takes entries of another member, without spreading them as news.
     *
     * @param entries the entries, not null
     * @param nowMillis the time now
     */
    public void mergeRecords(List<MembershipRecord> entries, long nowMillis) {
        for (MembershipRecord e : entries) {
            if (e.id().equals(self.id())) {
                refute(e, nowMillis);
            } else {
                table.mergeWithoutSpreading(e, nowMillis);
            }
        }
    }

    /**
     * Says that this member takes no new work.
     *
     * @param nowMillis the time now
     */
    public void leave(long nowMillis) {
        self = self.withStatus(GossipStatus.LEFT);
        table.merge(self, nowMillis);
    }

    /**
     * Finds what is believed of a member.
     *
     * @param id the identifier, not null
     * @return the entry, or empty if the member is not known
     */
    public Optional<MembershipRecord> find(String id) {
        return Optional.ofNullable(table.get(id));
    }

    /**
     * Lists the members that are not gone.
     *
     * @return the members in the order of their identifiers, never null
     */
    public List<MembershipRecord> members() {
        return table.all().stream().filter(e -> !e.status().isGone()).toList();
    }

    private void merge(MembershipRecord entry, long nowMillis) {
        if (entry.id().equals(self.id())) {
            refute(entry, nowMillis);
        } else {
            table.merge(entry, nowMillis);
        }
    }

    private void refute(MembershipRecord entry, long nowMillis) {
        if (self.status() == GossipStatus.ALIVE && entry.supersedes(self)) {
            self = entry.refutation();
            table.merge(self, nowMillis);
        }
    }

    private void expire(long nowMillis) {
        long patience = PERIOD_MILLIS * SUSPICION_FACTOR * GossipTable.ceilLog2(table.size() + 1);
        for (MembershipRecord e : new ArrayList<>(table.all())) {
            long age = nowMillis - table.changedAt(e.id());
            if (e.status() == GossipStatus.SUSPECT && age >= patience) {
                table.merge(e.withStatus(GossipStatus.DEAD), nowMillis);
            } else if (e.status().isGone()
                    && age >= GONE_RETENTION_MILLIS
                    && !e.id().equals(self.id())) {
                table.remove(e.id());
            }
        }
    }

    private Optional<MembershipRecord> randomGone() {
        List<MembershipRecord> gone =
                table.all().stream().filter(e -> e.status() == GossipStatus.DEAD).toList();
        return gone.isEmpty()
                ? Optional.empty()
                : Optional.of(gone.get(random.nextInt(gone.size())));
    }

    private void shuffle() {
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
