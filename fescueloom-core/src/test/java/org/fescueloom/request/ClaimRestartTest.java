package org.fescueloom.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.fescueloom.wire.RequestClaim;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that runs twice: an agent that restarted has lost the claim of the first
 * run, another agent never received this claim, and both grant the claim of a second run.
 */
class ClaimRestartTest {
    private static final long RETENTION_NANOS = 300_000_000_000L;

    private static ClaimRegistry registry() {
        return registryCompleteFrom(0L);
    }

    private static ClaimRegistry registryCompleteFrom(long nanos) {
        return new ClaimRegistry(RETENTION_NANOS, 10, nanos);
    }

    private static RequestClaim claim(String run) {
        return new RequestClaim("r", run, "digest", run + ".1.1", "u", "127.0.0.1:1", 1L, null);
    }

    @Nested
    class RestartedAgent {
        @Test
        void doesNotCountTowardsTheClaimOfASecondRun() {
            ClaimRegistry beforeRestart = registry();
            ClaimRegistry neverRestarted = registry();
            ClaimRegistry missedFirstClaim = registry();
            assertThat(beforeRestart.claim(claim("first"), 0L).granted()).isTrue();
            assertThat(neverRestarted.claim(claim("first"), 0L).granted()).isTrue();
            ClaimRegistry restarted = registryCompleteFrom(ClaimRegistry.VOUCH_DELAY_NANOS);
            ClaimTally second = new ClaimTally(3);
            second.count(restarted.claim(claim("second"), 1L));
            second.count(missedFirstClaim.claim(claim("second"), 1L));
            assertThat(second.verdict()).isNotEqualTo(ClaimTally.Verdict.CLAIMED);
        }
    }
}
