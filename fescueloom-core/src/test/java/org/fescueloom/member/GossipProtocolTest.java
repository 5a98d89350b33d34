package org.fescueloom.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import org.fescueloom.json.Json;
import org.fescueloom.wire.ConfigStatus;
import org.fescueloom.wire.MemberKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GossipProtocolTest {
    /** What HTTP adds to a call in both directions, as measured over a relay. */
    private static final int HTTP_BYTES = 270;

    /** The time after which the news of so many joins at once are spread. */
    private static final int SETTLE_SECONDS = 180;

    /** Members in one process; a message is a method call whose JSON length is counted. */
    private static final class Net {
        final Map<String, GossipProtocol> up = new LinkedHashMap<>();
        final Random random;
        BiPredicate<String, String> reaches = (a, b) -> true;
        double loss;
        long now = 1_000;
        long bytes;
        long nanos;
        int longest;

        Net(int count, long seed) {
            random = new Random(seed);
            MembershipRecord seedEntry = entry(0, 1);
            for (int i = 0; i < count; i++) {
                up.put(id(i), new GossipProtocol(entry(i, 1), List.of(seedEntry), random));
            }
        }

        static String id(int i) {
            return "agent-" + i;
        }

        static MembershipRecord entry(int i, long incarnation) {
            return new MembershipRecord(
                    id(i),
                    MemberKind.AGENT,
                    "10.0." + i / 250 + "." + i % 250 + ":7" + incarnation + "00",
                    "zone-" + i % 4,
                    incarnation,
                    0,
                    GossipStatus.ALIVE);
        }

        void run(int seconds) {
            for (int i = 0; i < seconds; i++) {
                long start = System.nanoTime();
                for (String id : List.copyOf(up.keySet())) {
                    probe(id);
                }
                nanos += System.nanoTime() - start;
                now += GossipProtocol.PERIOD_MILLIS;
            }
        }

        int secondsUntil(int limit, BooleanSupplier condition) {
            for (int i = 0; i <= limit; i++) {
                if (condition.getAsBoolean()) {
                    return i;
                }
                run(1);
            }
            throw new AssertionError("not within " + limit + " s");
        }

        private void probe(String id) {
            GossipProtocol a = up.get(id);
            MembershipRecord target = a.nextProbe(now).orElse(null);
            if (target == null) {
                return;
            }
            GossipProtocol b = up.get(target.id());
            GossipMessage probe = sent(a.createMessage(new ConfigStatus(17, 400, true, null, 21)));
            if (b == null || !reaches.test(id, target.id()) || random.nextDouble() < loss) {
                a.probeFailed(target.id(), now);
                return;
            }
            b.receive(probe, now);
            if (a.receive(sent(b.createMessage(new ConfigStatus(17, 400, true, null, 21))), now)) {
                GossipSync answer = sent(b.answerSync(sent(a.beginSync(now)), now));
                b.mergeRecords(
                        sent(new GossipSync(null, a.finishSync(answer, now))).entries(), now);
            }
        }

        private <T> T sent(T message) {
            int length = Json.write(message).length;
            bytes += length + HTTP_BYTES / 2;
            if (message instanceof GossipMessage) {
                longest = Math.max(longest, length);
            }
            return message;
        }

        boolean agree(int members) {
            return up.values().stream().allMatch(m -> m.members().size() == members);
        }

        /** Returns the bytes that one member sends and receives in a second. */
        double bytesPerMemberSecond(int seconds) {
            bytes = 0;
            nanos = 0;
            run(seconds);
            return 2.0 * bytes / up.size() / seconds;
        }
    }

    private static Net joined(int count) {
        Net net = new Net(count, 5);
        int seconds = net.secondsUntil(60, () -> net.agree(count));
        net.run(60);
        System.out.printf("%d members: joined within %d s%n", count, seconds);
        return net;
    }

    @Test
    void costsEachMemberTheSameFromTenToThreeHundred() {
        Net few = joined(10);
        few.run(SETTLE_SECONDS);
        double small = few.bytesPerMemberSecond(60);
        Net net = joined(300);
        net.run(SETTLE_SECONDS);
        double large = net.bytesPerMemberSecond(60);
        double micros = net.nanos / 1e3 / 60 / net.up.size();
        System.out.printf(
                "bytes a second for each member: %.0f at 10, %.0f at 300; %.0f us a second%n",
                small, large, micros);
        assertThat(large).isLessThan(1.1 * small);
        assertThat(large).isLessThan(3_000);
    }

    private static int half(String id) {
        return Integer.parseInt(id.substring("agent-".length())) % 2;
    }

    @Nested
    class Failures {
        @Test
        void ofOneMemberAreSeenByAllAndOfNoOther() {
            Net net = joined(300);
            net.up.remove(Net.id(7));
            int suspected =
                    net.secondsUntil(
                            60,
                            () ->
                                    net.up.values().stream()
                                            .noneMatch(
                                                    m ->
                                                            m.find(Net.id(7)).orElseThrow().status()
                                                                    == GossipStatus.ALIVE));
            int removed = suspected + net.secondsUntil(90, () -> net.agree(299));
            System.out.printf("one lost: suspected %d s, removed %d s%n", suspected, removed);
            assertThat(removed).isLessThan(60);
        }

        @Test
        void ofHalfOfTheMembersAtOnceAreSeenByTheRest() {
            Net net = joined(300);
            for (int i = 1; i < 300; i += 2) {
                net.up.remove(Net.id(i));
            }
            net.bytes = 0;
            int seconds = net.secondsUntil(180, () -> net.agree(150));
            System.out.printf(
                    "half lost: %d s, %.0f bytes a second%n",
                    seconds, 2.0 * net.bytes / 150 / seconds);
            assertThat(seconds).isLessThan(120);
            assertThat(net.longest).isLessThan(1_500);
        }

        @Test
        void ofSomeMessagesRemoveNobody() {
            Net net = joined(100);
            net.loss = 0.1;
            for (int i = 0; i < 180; i++) {
                net.run(1);
                assertThat(net.agree(100)).isTrue();
            }
        }
    }

    @Nested
    class Changes {
        @Test
        void ofAMemberThatLeavesReachAll() {
            Net net = joined(300);
            net.up.get(Net.id(7)).leave(net.now);
            int seconds = net.secondsUntil(30, () -> net.agree(299));
            System.out.printf("leaving reached all within %d s%n", seconds);
            assertThat(seconds).isLessThan(20);
        }

        @Test
        void ofAnAddressReachAll() {
            Net net = joined(100);
            MembershipRecord again = Net.entry(7, 2);
            net.up.put(Net.id(7), new GossipProtocol(again, List.of(Net.entry(0, 1)), net.random));
            net.secondsUntil(
                    40,
                    () ->
                            net.up.values().stream()
                                    .allMatch(
                                            m ->
                                                    m.find(Net.id(7))
                                                            .orElseThrow()
                                                            .address()
                                                            .equals(again.address())));
        }

        @Test
        void ofRegionsThatLoseEachOtherAndMeetAgain() {
            Net net = joined(100);
            net.reaches = (a, b) -> half(a) == half(b);
            net.run(180);
            assertThat(net.agree(50)).isTrue();
            net.reaches = (a, b) -> true;
            int seconds = net.secondsUntil(120, () -> net.agree(100));
            System.out.printf("regions met again: all members agree after %d s%n", seconds);
        }
    }
}
