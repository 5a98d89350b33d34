package org.fescueloom.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import okhttp3.Request;
import org.fescueloom.daemon.http.HttpAnswer;
import org.fescueloom.daemon.http.HttpClient;
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
    private static final int HOLDERS = 3;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration FIRST_TIMEOUT = Duration.ofMillis(250);
    private static final Duration SECOND_TIMEOUT = Duration.ofMillis(1_000);

    private final Map<String, Long> firstIncarnations = new ConcurrentHashMap<>();
    private final long createdNanos = System.nanoTime();
    private final Supplier<List<Member>> agents;
    private final HttpClient pooled;
    private final HttpClient fresh;

    /**
     * Creates a client.
     *
     * @param agents lists the agents that have announced themselves, not null
     * @param maxCalls the most calls in flight, at least 1
     */
    ClaimClient(Supplier<List<Member>> agents, int maxCalls) {
        this.agents = Objects.requireNonNull(agents, "agents");
        this.pooled = new HttpClient(maxCalls, CONNECT_TIMEOUT);
        this.fresh = new HttpClient(maxCalls, CONNECT_TIMEOUT, 0);
    }

    /**
     * Says what a claim came to.
     *
     * @param verdict whether it holds, not null
     * @param other the claim of another run; null unless the verdict is {@code TAKEN}
     */
    record Result(ClaimTally.Verdict verdict, RequestClaim other) {}

    /**
     * Records a claim.
     *
     * @param claim the claim, not null
     * @return a future of the result, which never fails
     */
    CompletableFuture<Result> claim(RequestClaim claim) {
        observeAgents();
        List<Member> holders = holders(claim.request());
        ClaimTally tally = new ClaimTally(holders.size());
        CompletableFuture<Result> result = new CompletableFuture<>();
        if (holders.isEmpty()) {
            result.complete(new Result(ClaimTally.Verdict.FAILED, null));
        }
        for (Member holder : holders) {
            boolean known = isStarting() || !hasRestarted(holder);
            ask(holder, claim)
                    .thenAccept(reply -> count(tally, known ? vouched(reply) : reply, result));
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
        for (Member holder : holders(claim.request())) {
            Request request = HttpClient.request("DELETE", holder.address(), path, null).build();
            pooled.send(request, SECOND_TIMEOUT);
        }
    }

    /** Notes which agents are there, to notice when one restarts. */
    void observeAgents() {
        for (Member agent : agents.get()) {
            firstIncarnations.putIfAbsent(agent.id(), agent.announcement().incarnation());
        }
    }

    /** Closes the connections that no call uses now. */
    void retireConnections() {
        pooled.closeIdle();
    }

    /** Ends all calls. */
    @Override
    public void close() {
        pooled.close();
        fresh.close();
    }

    private boolean hasRestarted(Member holder) {
        return firstIncarnations.getOrDefault(holder.id(), 0L)
                != holder.announcement().incarnation();
    }

    private static ClaimReply vouched(ClaimReply reply) {
        return reply == null ? null : new ClaimReply(reply.granted(), reply.holder(), true);
    }

    /** A young entry cannot know which agents have restarted. */
    private boolean isStarting() {
        return System.nanoTime() - createdNanos < ClaimRegistry.VOUCH_DELAY_NANOS;
    }

    private List<Member> holders(String request) {
        List<Member> staying =
                agents.get().stream().filter(a -> a.state() != MemberState.LEAVING).toList();
        return RendezvousHash.top(request, staying, Member::id, HOLDERS);
    }

    private CompletableFuture<ClaimReply> ask(Member holder, RequestClaim claim) {
        String path = "/internal/claims/" + claim.request();
        Request request = HttpClient.request("PUT", holder.address(), path, claim).build();
        return pooled.send(request, FIRST_TIMEOUT)
                .handle((answer, error) -> error == null ? answer : null)
                .thenCompose(
                        answer ->
                                answer == null
                                        ? fresh.send(request, SECOND_TIMEOUT)
                                        : CompletableFuture.completedFuture(answer))
                .handle((answer, error) -> error == null ? read(answer) : null);
    }

    private static ClaimReply read(HttpAnswer answer) {
        try {
            return answer.isSuccess() ? answer.read(ClaimReply.class) : null;
        } catch (SchedulerException e) {
            return null;
        }
    }

    private static void count(
            ClaimTally tally, ClaimReply reply, CompletableFuture<Result> result) {
        Result decided;
        synchronized (tally) {
            tally.count(reply);
            decided = new Result(tally.verdict(), tally.competingClaim().orElse(null));
        }
        if (decided.verdict() != ClaimTally.Verdict.OPEN) {
            result.complete(decided);
        }
    }
}
