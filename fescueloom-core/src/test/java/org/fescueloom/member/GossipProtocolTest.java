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
    /** The bytes that HTTP adds to a call in both directions, as measured over a relay. */
    private static final int HTTP_BYTES = 270;

    /** The time after which the updates about all members that join together have been spread. */
    private static final int SETTLE_SECONDS = 180;

    /**
     * Simulates the members in one process. A message is a method call; the length of its JSON form
     * is counted.
     */
    private static final class SimulatedNetwork {
        final Map<String, GossipProtocol> running = new LinkedHashMap<>();
        final Random random;
        BiPredicate<String, String> connected = (a, b) -> true;
        double lossProbability;
        long now = 1_000;
        long bytes;
        long nanos;
        int longestMessage;

        SimulatedNetwork(int count, long seed) {
            random = new Random(seed);
            MembershipRecord seedRecord = memberRecord(0, 1);
            for (int i = 0; i < count; i++) {
                running.put(
                        id(i), new GossipProtocol(memberRecord(i, 1), List.of(seedRecord), random));
            }
        }

        static String id(int i) {
            return "agent-" + i;
        }

        static MembershipRecord memberRecord(int i, long incarnation) {
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
                for (String id : List.copyOf(running.keySet())) {
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
            throw new AssertionError("condition not met within " + limit + " s");
        }

        private void probe(String id) {
            GossipProtocol a = running.get(id);
            MembershipRecord target = a.nextProbe(now).orElse(null);
            if (target == null) {
                return;
            }
            GossipProtocol b = running.get(target.id());
            GossipMessage probe =
                    countBytes(a.createMessage(new ConfigStatus(17, 400, true, null, 21)));
            if (b == null
                    || !connected.test(id, target.id())
                    || random.nextDouble() < lossProbability) {
                a.probeFailed(target.id(), now);
                return;
            }
            b.receive(probe, now);
            if (a.receive(
                    countBytes(b.createMessage(new ConfigStatus(17, 400, true, null, 21))), now)) {
                GossipSync answer = countBytes(b.answerSync(countBytes(a.beginSync(now)), now));
                b.mergeRecords(
                        countBytes(new GossipSync(null, a.finishSync(answer, now))).entries(), now);
            }
        }

        private <T> T countBytes(T message) {
            int length = Json.write(message).length;
            bytes += length + HTTP_BYTES / 2;
            if (message instanceof GossipMessage) {
                longestMessage = Math.max(longestMessage, length);
            }
            return message;
        }

        boolean allSeeMembers(int members) {
            return running.values().stream().allMatch(m -> m.members().size() == members);
        }

        /** Returns the bytes that one member sends and receives per second. */
        double bytesPerMemberSecond(int seconds) {
            bytes = 0;
            nanos = 0;
            run(seconds);
            // Each message is counted once, but one member sends it and another member receives it.
            return 2.0 * bytes / running.size() / seconds;
        }
    }

    private static SimulatedNetwork joinedNetwork(int count) {
        SimulatedNetwork network = new SimulatedNetwork(count, 5);
        int seconds = network.secondsUntil(60, () -> network.allSeeMembers(count));
        network.run(60);
        System.out.printf("%d members: joined within %d s%n", count, seconds);
        return network;
    }

    @Test
    void usesEqualTrafficPerMemberForTenAndThreeHundredMembers() {
        SimulatedNetwork smallNetwork = joinedNetwork(10);
        smallNetwork.run(SETTLE_SECONDS);
        double small = smallNetwork.bytesPerMemberSecond(60);
        SimulatedNetwork network = joinedNetwork(300);
        network.run(SETTLE_SECONDS);
        double large = network.bytesPerMemberSecond(60);
        double micros = network.nanos / 1e3 / 60 / network.running.size();
        System.out.printf(
                "bytes per second and member: %.0f with 10, %.0f with 300 members; %.0f us per"
                        + " second%n",
                small, large, micros);
        assertThat(large).isLessThan(1.1 * small);
        assertThat(large).isLessThan(3_000);
    }

    private static int partition(String id) {
        return Integer.parseInt(id.substring("agent-".length())) % 2;
    }

    @Nested
    class Failures {
        @Test
        void removesOneFailedMemberAndNoOther() {
            SimulatedNetwork network = joinedNetwork(300);
            network.running.remove(SimulatedNetwork.id(7));
            int suspected =
                    network.secondsUntil(
                            60,
                            () ->
                                    network.running.values().stream()
                                            .noneMatch(
                                                    m ->
                                                            m.find(SimulatedNetwork.id(7))
                                                                            .orElseThrow()
                                                                            .status()
                                                                    == GossipStatus.ALIVE));
            int removed = suspected + network.secondsUntil(90, () -> network.allSeeMembers(299));
            System.out.printf(
                    "one member failed: suspected after %d s, removed after %d s%n",
                    suspected, removed);
            assertThat(removed).isLessThan(60);
        }

        @Test
        void removesHalfOfTheMembersAfterTheyFailTogether() {
            SimulatedNetwork network = joinedNetwork(300);
            for (int i = 1; i < 300; i += 2) {
                network.running.remove(SimulatedNetwork.id(i));
            }
            network.bytes = 0;
            int seconds = network.secondsUntil(180, () -> network.allSeeMembers(150));
            System.out.printf(
                    "half of the members failed: removed after %d s, %.0f bytes per second%n",
                    seconds, 2.0 * network.bytes / 150 / seconds);
            assertThat(seconds).isLessThan(120);
            assertThat(network.longestMessage).isLessThan(1_500);
        }

        @Test
        void removesNoMemberWhenSomeMessagesAreLost() {
            SimulatedNetwork network = joinedNetwork(100);
            network.lossProbability = 0.1;
            for (int i = 0; i < 180; i++) {
                network.run(1);
                assertThat(network.allSeeMembers(100)).isTrue();
            }
        }
    }

    @Nested
    class Changes {
        @Test
        void spreadsTheDepartureOfAMember() {
            SimulatedNetwork network = joinedNetwork(300);
            network.running.get(SimulatedNetwork.id(7)).leave(network.now);
            int seconds = network.secondsUntil(30, () -> network.allSeeMembers(299));
            System.out.printf("departure known to all members within %d s%n", seconds);
            assertThat(seconds).isLessThan(20);
        }

        @Test
        void spreadsANewAddress() {
            SimulatedNetwork network = joinedNetwork(100);
            MembershipRecord restarted = SimulatedNetwork.memberRecord(7, 2);
            network.running.put(
                    SimulatedNetwork.id(7),
                    new GossipProtocol(
                            restarted,
                            List.of(SimulatedNetwork.memberRecord(0, 1)),
                            network.random));
            network.secondsUntil(
                    40,
                    () ->
                            network.running.values().stream()
                                    .allMatch(
                                            m ->
                                                    m.find(SimulatedNetwork.id(7))
                                                            .orElseThrow()
                                                            .address()
                                                            .equals(restarted.address())));
        }

        @Test
        void mergesTwoPartitionsAfterTheyReconnect() {
            SimulatedNetwork network = joinedNetwork(100);
            network.connected = (a, b) -> partition(a) == partition(b);
            network.run(180);
            assertThat(network.allSeeMembers(50)).isTrue();
            network.connected = (a, b) -> true;
            int seconds = network.secondsUntil(120, () -> network.allSeeMembers(100));
            System.out.printf("partitions reconnected: all members agree after %d s%n", seconds);
        }
    }
}
