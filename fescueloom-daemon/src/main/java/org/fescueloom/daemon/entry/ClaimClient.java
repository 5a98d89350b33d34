package org.fescueloom.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import okhttp3.Request;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.member.Member;
import org.fescueloom.member.MemberState;
import org.fescueloom.member.RendezvousHash;
import org.fescueloom.request.ClaimRegistry;
import org.fescueloom.request.ClaimTally;
import org.fescueloom.wire.ClaimReply;
import org.fescueloom.wire.RequestClaim;

/**
 * Records claims at the agents that a rendezvous hash of the identifier names.
 *
 * <p>All known agents but the leaving ones are counted, suspected ones too, so that the choice
 * stays the same while one of them is silent.
 */
final class ClaimClient implements AutoCloseable {
    private static final int AGENTS_PER_CLAIM = 3;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration POOLED_CALL_TIMEOUT = Duration.ofMillis(250);
    private static final Duration SECOND_CALL_TIMEOUT = Duration.ofMillis(1_000);

    private final Map<String, Long> firstIncarnations = new ConcurrentHashMap<>();
    private final long createdNanos = System.nanoTime();
    private final Supplier<List<Member>> agents;
    private final HttpClient pooledClient;
    private final HttpClient unpooledClient;

    /**
     * Creates a client.
     *
     * @param agents lists the agents that have announced themselves, not null
     * @param maxCalls the most calls in flight, at least 1
     */
    ClaimClient(Supplier<List<Member>> agents, int maxCalls) {
        this.agents = Objects.requireNonNull(agents, "agents");
        this.pooledClient = new HttpClient(maxCalls, CONNECT_TIMEOUT);
        this.unpooledClient = new HttpClient(maxCalls, CONNECT_TIMEOUT, 0);
    }

    /**
     * Says what a claim came to.
     *
     * @param verdict whether it holds, not null
     * @param other the claim of another run; null unless the verdict is {@code TAKEN}
     */
    record ClaimResult(ClaimTally.Verdict verdict, RequestClaim competingClaim) {}

    /**
     * Records a claim.
     *
     * @param claim the claim, not null
     * @return a future of the result, which never fails
     */
    CompletableFuture<ClaimResult> claim(RequestClaim claim) {
        recordFirstIncarnations();
        List<Member> agentsAsked = responsibleAgents(claim.request());
        ClaimTally tally = new ClaimTally(agentsAsked.size());
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        if (agentsAsked.isEmpty()) {
            result.complete(new ClaimResult(ClaimTally.Verdict.FAILED, null));
        }
        for (Member agent : agentsAsked) {
            boolean recordComplete = isRecentlyStarted() || !hasRestarted(agent);
            sendClaim(agent, claim)
                    .thenAccept(
                            reply ->
                                    countReply(
                                            tally,
                                            recordComplete ? withCompleteRecord(reply) : reply,
                                            result));
        }
        return result;
    }

    /**
     * Removes the claim of a run that did not run; failures are passed over.
     *
     * @param claim the claim, not null
     */
    void withdraw(RequestClaim claim) {
        String path = "/internal/claims/" + claim.request() + "?attempt=" + claim.attempt();
        for (Member agent : responsibleAgents(claim.request())) {
            Request request = HttpClient.request("DELETE", agent.address(), path, null).build();
            pooledClient.send(request, SECOND_CALL_TIMEOUT);
        }
    }

    /** Notes which agents are there, to notice when one restarts. */
    void recordFirstIncarnations() {
        for (Member agent : agents.get()) {
            firstIncarnations.putIfAbsent(agent.id(), agent.announcement().incarnation());
        }
    }

    /** Closes the connections that no call uses now. */
    void closeIdleConnections() {
        pooledClient.closeIdleConnections();
    }

    /** Ends all calls. */
    @Override
    public void close() {
        pooledClient.close();
        unpooledClient.close();
    }

    private boolean hasRestarted(Member agent) {
        return firstIncarnations.getOrDefault(agent.id(), 0L) != agent.announcement().incarnation();
    }

    private static ClaimReply withCompleteRecord(ClaimReply reply) {
        return reply == null ? null : new ClaimReply(reply.granted(), reply.holder(), true);
    }

    /** A young entry cannot know which agents have restarted. */
    private boolean isRecentlyStarted() {
        return System.nanoTime() - createdNanos < ClaimRegistry.VOUCH_DELAY_NANOS;
    }

    private List<Member> responsibleAgents(String requestId) {
        List<Member> notLeaving =
                agents.get().stream()
                        .filter(agent -> agent.state() != MemberState.LEAVING)
                        .toList();
        return RendezvousHash.top(requestId, notLeaving, Member::id, AGENTS_PER_CLAIM);
    }

    private CompletableFuture<ClaimReply> sendClaim(Member agent, RequestClaim claim) {
        String path = "/internal/claims/" + claim.request();
        Request request = HttpClient.request("PUT", agent.address(), path, claim).build();
        return pooledClient
                .send(request, POOLED_CALL_TIMEOUT)
                .handle((response, error) -> error == null ? response : null)
                .thenCompose(
                        response ->
                                response == null
                                        ? unpooledClient.send(request, SECOND_CALL_TIMEOUT)
                                        : CompletableFuture.completedFuture(response))
                .handle((response, error) -> error == null ? readReply(response) : null);
    }

    private static ClaimReply readReply(HttpClientResponse response) {
        try {
            return response.isSuccess() ? response.read(ClaimReply.class) : null;
        } catch (SchedulerException e) {
            return null;
        }
    }

    private static void countReply(
            ClaimTally tally, ClaimReply reply, CompletableFuture<ClaimResult> result) {
        ClaimResult decided;
        synchronized (tally) {
            tally.count(reply);
            decided = new ClaimResult(tally.verdict(), tally.competingClaim().orElse(null));
        }
        if (decided.verdict() != ClaimTally.Verdict.OPEN) {
            result.complete(decided);
        }
    }
}
