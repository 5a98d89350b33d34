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

    private static List<ClaimRegistry> holders() {
        List<ClaimRegistry> holders = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            holders.add(new ClaimRegistry(300 * SECOND, 10, LONG_AGO));
        }
        return holders;
    }

    /** Is a message of one run to one holder. */
    private record Message(RequestClaim claim, int holder) {}

    @Property(seed = "43", tries = 1_000)
    void letsAtMostOneRunWin(@ForAll long seed) {
        Random random = new Random(seed);
        List<Message> messages = new ArrayList<>();
        List<ClaimTally> tallies = new ArrayList<>();
        for (int run = 0; run < 3; run++) {
            tallies.add(new ClaimTally(3));
            for (int holder = 0; holder < 3; holder++) {
                if (random.nextInt(4) > 0) {
                    messages.add(new Message(claim("run" + run, "a.1." + run, null), holder));
                }
            }
        }
        Collections.shuffle(messages, random);
        List<ClaimRegistry> holders = holders();
        for (Message m : messages) {
            ClaimReply reply = holders.get(m.holder()).claim(m.claim(), 0);
            int run = Integer.parseInt(m.claim().run().substring(3));
            tallies.get(run).count(random.nextInt(4) > 0 ? reply : null);
        }
        assertThat(tallies.stream().filter(t -> t.verdict() == ClaimTally.Verdict.CLAIMED))
                .hasSizeLessThanOrEqualTo(1);
    }

    /** The owner records its second attempt while another run tries to take its place. */
    @Property(seed = "44", tries = 1_000)
    void neverLetsBothATakeOverAndARetryOfTheOwnerWin(@ForAll long seed) {
        Random random = new Random(seed);
        List<ClaimRegistry> holders = holders();
        holders.forEach(h -> h.claim(claim("owner", "a.1.1", null), 0));
        List<Message> messages = new ArrayList<>();
        for (int holder = 0; holder < 3; holder++) {
            messages.add(new Message(claim("owner", "a.1.2", null), holder));
            messages.add(new Message(claim("other", "b.1.1", "a.1.1"), holder));
        }
        Collections.shuffle(messages, random);
        ClaimTally owner = new ClaimTally(3);
        ClaimTally other = new ClaimTally(3);
        for (Message m : messages) {
            ClaimReply reply = holders.get(m.holder()).claim(m.claim(), 0);
            (m.claim().run().equals("owner") ? owner : other).count(reply);
        }
        boolean both =
                owner.verdict() == ClaimTally.Verdict.CLAIMED
                        && other.verdict() == ClaimTally.Verdict.CLAIMED;
        assertThat(both).isFalse();
    }

    /** Asks three agents in any order; the one at a place may be silent. */
    private static ClaimTally.Verdict ask(
            List<ClaimRegistry> holders, RequestClaim claim, int silent, Random random) {
        List<Integer> order = new ArrayList<>(List.of(0, 1, 2));
        Collections.shuffle(order, random);
        ClaimTally tally = new ClaimTally(3);
        for (int holder : order) {
            tally.count(holder == silent ? null : holders.get(holder).claim(claim, SECOND));
            if (tally.verdict() != ClaimTally.Verdict.OPEN) {
                return tally.verdict();
            }
        }
        return tally.verdict();
    }

    @Property(seed = "45", tries = 1_000)
    void passesNoRepeatAfterOneAgentRestartedAndAnotherMissedTheClaim(@ForAll long seed) {
        Random random = new Random(seed);
        List<ClaimRegistry> holders = holders();
        int missed = random.nextInt(3);
        int restarted = (missed + 1 + random.nextInt(2)) % 3;
        int silent = random.nextInt(4);
        assertThat(ask(holders, claim("first", "a.1.1", null), missed, random))
                .isEqualTo(ClaimTally.Verdict.CLAIMED);
        holders.set(restarted, new ClaimRegistry(300 * SECOND, 10, 300 * SECOND));
        assertThat(ask(holders, claim("repeat", "b.1.1", null), silent, random))
                .isNotEqualTo(ClaimTally.Verdict.CLAIMED);
    }

    @Test
    void passesNoRepeatAfterAllAgentsRestarted() {
        assertThat(ask(restarted(), claim("repeat", "b.1.1", null), -1, new Random(1)))
                .isEqualTo(ClaimTally.Verdict.FAILED);
    }

    private static List<ClaimRegistry> restarted() {
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
        void staysWithTheFirstRunUntilItIsForgotten() {
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
        void outlivesTheLateWithdrawalOfAnEarlierAttempt() {
            registry.claim(claim("one", "a.1.1", null), 0);
            registry.claim(claim("one", "a.1.2", null), 0);
            assertThat(registry.withdraw("r", "a.1.1")).isFalse();
            assertThat(registry.claim(claim("two", "b.1.1", null), 0).granted()).isFalse();
        }

        @Test
        void isNotReplacedByALateClaimOfAnEarlierAttempt() {
            registry.claim(claim("one", "a.1.2", null), 0);
            assertThat(registry.claim(claim("one", "a.1.1", null), 0).granted()).isFalse();
            assertThat(registry.claim(claim("two", "b.1.1", "a.1.1"), 0).granted()).isFalse();
        }
    }
}
