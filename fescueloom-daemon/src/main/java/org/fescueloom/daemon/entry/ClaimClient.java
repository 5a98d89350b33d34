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
 * Records claims of request identifiers at the agents that are responsible for them. Thread-safe.
 *
 * <p>The responsible agents are chosen by a rendezvous hash of the request identifier. Suspected
 * agents can be chosen as well, so that the choice does not change while an agent does not announce
 * itself for some time. Leaving agents are not chosen.
 */
final class ClaimClient implements AutoCloseable {
    /** The number of agents that record each claim. */
    private static final int AGENTS_PER_CLAIM = 3;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** The timeout of the first call of a claim, which uses a pooled connection. */
    private static final Duration FIRST_CALL_TIMEOUT = Duration.ofMillis(250);

    /** The timeout of every other call: the second call of a claim, and a withdrawal. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

    /** The first incarnation of each agent that this entry has seen, by the agent's identifier. */
    private final Map<String, Long> firstIncarnations = new ConcurrentHashMap<>();

    private final long createdNanos = System.nanoTime();
    private final Supplier<List<Member>> agents;
    private final HttpClient pooledClient;
    private final HttpClient unpooledClient;

    /**
     * Creates a client.
     *
     * @param agents supplies the agents that have announced themselves, not null
     * @param maxCalls the maximum number of calls in flight, for pooled and for new connections
     *     each, at least 1
     */
    ClaimClient(Supplier<List<Member>> agents, int maxCalls) {
        this.agents = Objects.requireNonNull(agents, "agents");
        this.pooledClient = new HttpClient(maxCalls, CONNECT_TIMEOUT);
        this.unpooledClient = new HttpClient(maxCalls, CONNECT_TIMEOUT, 0);
    }

    /**
     * Holds the result of a claim.
     *
     * @param verdict the verdict on the responses of the agents, not null
     * @param holderClaim the claim of another run that holds the identifier; null if no agent
     *     reported one
     */
    record ClaimResult(ClaimTally.Verdict verdict, RequestClaim holderClaim) {}

    /**
     * Records a claim at the responsible agents.
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
            // An agent that has not restarted since this entry first saw it has lost no claims.
            boolean countsAsComplete = isRecentlyStarted() || !hasRestarted(agent);
            sendClaim(agent, claim)
                    .thenAccept(
                            reply ->
                                    countReply(
                                            tally,
                                            countsAsComplete ? withCompleteRecord(reply) : reply,
                                            result));
        }
        return result;
    }

    /**
     * Removes the claim of an attempt that was not sent or did not run from the responsible agents.
     * Failures are ignored; the claim then remains until it expires at the agents.
     *
     * @param claim the claim, not null
     */
    void withdraw(RequestClaim claim) {
        String path = "/internal/claims/" + claim.request() + "?attempt=" + claim.attempt();
        for (Member agent : responsibleAgents(claim.request())) {
            Request request = HttpClient.request("DELETE", agent.address(), path, null).build();
            pooledClient.send(request, CALL_TIMEOUT);
        }
    }

    /** Records the incarnations of agents that are new to this entry, to detect restarts. */
    void recordFirstIncarnations() {
        for (Member agent : agents.get()) {
            firstIncarnations.putIfAbsent(agent.id(), agent.announcement().incarnation());
        }
    }

    /** Closes the idle connections. */
    void closeIdleConnections() {
        pooledClient.closeIdleConnections();
    }

    /** Cancels all calls and closes all connections. */
    @Override
    public void close() {
        pooledClient.close();
        unpooledClient.close();
    }

    /**
     * Tests whether the agent has restarted since this entry first saw it. An agent that was not
     * seen before counts as restarted.
     */
    private boolean hasRestarted(Member agent) {
        return firstIncarnations.getOrDefault(agent.id(), 0L) != agent.announcement().incarnation();
    }

    /** Replaces the agent's own statement on the completeness of its record of claims. */
    private static ClaimReply withCompleteRecord(ClaimReply reply) {
        return reply == null ? null : new ClaimReply(reply.granted(), reply.holder(), true);
    }

    /**
     * Tests whether this entry has started too recently to know which agents have restarted. During
     * this time, the record of claims of every agent counts as complete.
     */
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

    /**
     * Sends a claim to an agent, and sends it again on a new connection if the first call fails.
     * The result is null if no valid response arrives.
     */
    private CompletableFuture<ClaimReply> sendClaim(Member agent, RequestClaim claim) {
        String path = "/internal/claims/" + claim.request();
        Request request = HttpClient.request("PUT", agent.address(), path, claim).build();
        return pooledClient
                .send(request, FIRST_CALL_TIMEOUT)
                .handle((response, error) -> error == null ? response : null)
                .thenCompose(
                        response ->
                                response == null
                                        ? unpooledClient.send(request, CALL_TIMEOUT)
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
