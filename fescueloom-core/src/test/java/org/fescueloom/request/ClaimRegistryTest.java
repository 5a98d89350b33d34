package org.fescueloom.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescueloom.wire.ClaimReply;
import org.fescueloom.wire.RequestClaim;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClaimRegistryTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long LONG_AGO = -1_000 * SECOND;

    private static RequestClaim claim(String run, String attempt, String replaces) {
        return new RequestClaim("r", run, "d", attempt, "u", "127.0.0.1:1", 1, replaces);
    }

    private static List<ClaimRegistry> registries() {
        List<ClaimRegistry> registries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            registries.add(new ClaimRegistry(300 * SECOND, 10, LONG_AGO));
        }
        return registries;
    }

    /** Represents a claim that one run sends to one agent. */
    private record Message(RequestClaim claim, int agent) {}

    @Property(seed = "43", tries = 1_000)
    void grantsTheClaimToAtMostOneRun(@ForAll long seed) {
        Random random = new Random(seed);
        List<Message> messages = new ArrayList<>();
        List<ClaimTally> tallies = new ArrayList<>();
        for (int run = 0; run < 3; run++) {
            tallies.add(new ClaimTally(3));
            for (int agent = 0; agent < 3; agent++) {
                if (random.nextInt(4) > 0) {
                    messages.add(new Message(claim("run" + run, "a.1." + run, null), agent));
                }
            }
        }
        Collections.shuffle(messages, random);
        List<ClaimRegistry> registries = registries();
        for (Message m : messages) {
            ClaimReply reply = registries.get(m.agent()).claim(m.claim(), 0);
            int run = Integer.parseInt(m.claim().run().substring(3));
            tallies.get(run).count(random.nextInt(4) > 0 ? reply : null);
        }
        assertThat(tallies.stream().filter(t -> t.verdict() == ClaimTally.Verdict.CLAIMED))
                .hasSizeLessThanOrEqualTo(1);
    }

    /**
     * The first run claims the identifier for its second attempt while another run tries to take
     * the identifier over.
     */
    @Property(seed = "44", tries = 1_000)
    void neverGrantsBothARetryAndATakeover(@ForAll long seed) {
        Random random = new Random(seed);
        List<ClaimRegistry> registries = registries();
        registries.forEach(r -> r.claim(claim("owner", "a.1.1", null), 0));
        List<Message> messages = new ArrayList<>();
        for (int agent = 0; agent < 3; agent++) {
            messages.add(new Message(claim("owner", "a.1.2", null), agent));
            messages.add(new Message(claim("other", "b.1.1", "a.1.1"), agent));
        }
        Collections.shuffle(messages, random);
        ClaimTally owner = new ClaimTally(3);
        ClaimTally other = new ClaimTally(3);
        for (Message m : messages) {
            ClaimReply reply = registries.get(m.agent()).claim(m.claim(), 0);
            (m.claim().run().equals("owner") ? owner : other).count(reply);
        }
        boolean both =
                owner.verdict() == ClaimTally.Verdict.CLAIMED
                        && other.verdict() == ClaimTally.Verdict.CLAIMED;
        assertThat(both).isFalse();
    }

    /**
     * Sends a claim to three agents in random order; the agent with the index {@code silent} does
     * not respond. With any index outside 0 to 2, all agents respond.
     */
    private static ClaimTally.Verdict claimAtAll(
            List<ClaimRegistry> registries, RequestClaim claim, int silent, Random random) {
        List<Integer> order = new ArrayList<>(List.of(0, 1, 2));
        Collections.shuffle(order, random);
        ClaimTally tally = new ClaimTally(3);
        for (int agent : order) {
            tally.count(agent == silent ? null : registries.get(agent).claim(claim, SECOND));
            if (tally.verdict() != ClaimTally.Verdict.OPEN) {
                return tally.verdict();
            }
        }
        return tally.verdict();
    }

    @Property(seed = "45", tries = 1_000)
    void deniesARepeatAfterOneAgentRestartedAndAnotherMissedTheClaim(@ForAll long seed) {
        Random random = new Random(seed);
        List<ClaimRegistry> registries = registries();
        int missed = random.nextInt(3);
        int restarted = (missed + 1 + random.nextInt(2)) % 3;
        int silent = random.nextInt(4);
        assertThat(claimAtAll(registries, claim("first", "a.1.1", null), missed, random))
                .isEqualTo(ClaimTally.Verdict.CLAIMED);
        registries.set(restarted, new ClaimRegistry(300 * SECOND, 10, 300 * SECOND));
        assertThat(claimAtAll(registries, claim("repeat", "b.1.1", null), silent, random))
                .isNotEqualTo(ClaimTally.Verdict.CLAIMED);
    }

    @Test
    void deniesARepeatAfterAllAgentsRestarted() {
        assertThat(
                        claimAtAll(
                                restartedRegistries(),
                                claim("repeat", "b.1.1", null),
                                -1,
                                new Random(1)))
                .isEqualTo(ClaimTally.Verdict.FAILED);
    }

    private static List<ClaimRegistry> restartedRegistries() {
        List<ClaimRegistry> fresh = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            fresh.add(new ClaimRegistry(300 * SECOND, 10, 300 * SECOND));
        }
        return fresh;
    }

    @Nested
    class Claim {
        private final ClaimRegistry registry = new ClaimRegistry(300 * SECOND, 2, LONG_AGO);

        @Test
        void belongsToTheFirstRunUntilItExpires() {
            assertThat(registry.claim(claim("one", "a.1.1", null), 0).granted()).isTrue();
            ClaimReply second = registry.claim(claim("two", "b.1.1", null), 299 * SECOND);
            assertThat(second.granted()).isFalse();
            assertThat(second.holder().attempt()).isEqualTo("a.1.1");
            assertThat(registry.claim(claim("two", "b.1.1", null), 301 * SECOND).granted())
                    .isTrue();
        }

        @Test
        void canBeWithdrawnByItsAttemptOnly() {
            registry.claim(claim("one", "a.1.1", null), 0);
            assertThat(registry.withdraw("r", "b.1.1")).isFalse();
            assertThat(registry.withdraw("r", "a.1.1")).isTrue();
            assertThat(registry.size()).isZero();
        }

        @Test
        void isNotWithdrawnByADelayedWithdrawalOfAnEarlierAttempt() {
            registry.claim(claim("one", "a.1.1", null), 0);
            registry.claim(claim("one", "a.1.2", null), 0);
            assertThat(registry.withdraw("r", "a.1.1")).isFalse();
            assertThat(registry.claim(claim("two", "b.1.1", null), 0).granted()).isFalse();
        }

        @Test
        void isNotReplacedByADelayedClaimOfAnEarlierAttempt() {
            registry.claim(claim("one", "a.1.2", null), 0);
            assertThat(registry.claim(claim("one", "a.1.1", null), 0).granted()).isFalse();
            assertThat(registry.claim(claim("two", "b.1.1", "a.1.1"), 0).granted()).isFalse();
        }
    }
}
