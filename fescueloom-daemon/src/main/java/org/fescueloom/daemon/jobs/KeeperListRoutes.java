package org.fescueloom.daemon.jobs;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.member.Member;
import org.fescueloom.member.MemberState;
import org.fescueloom.wire.KeeperCandidate;
import org.fescueloom.wire.KeeperList;

/**
 * Serves the route on which agents ask which agents are alive. The response contains the list only
 * if the list of the caller differs.
 */
public final class KeeperListRoutes implements Service {
    /** The path of the list. */
    public static final String PATH = "/internal/keepers";

    /** The query parameter with the digest of the list that the caller has. */
    public static final String DIGEST_PARAMETER = "digest";

    private final Supplier<List<Member>> agents;

    /**
     * Creates the routes.
     *
     * @param agents gives the agents that have announced themselves, not null
     */
    public KeeperListRoutes(Supplier<List<Member>> agents) {
        this.agents = Objects.requireNonNull(agents, "agents");
    }

    @Override
    public void registerRoutes(HttpServer server) {
        server.route("GET", PATH, this::getList);
    }

    /**
     * Returns the agents that are alive and not leaving.
     *
     * @return the agents in order of their identifiers, never null
     */
    public List<KeeperCandidate> candidates() {
        return agents.get().stream()
                .filter(agent -> agent.state() == MemberState.ALIVE)
                .map(agent -> new KeeperCandidate(agent.id(), agent.announcement().zone()))
                .sorted(Comparator.comparing(KeeperCandidate::member))
                .toList();
    }

    private CompletableFuture<HttpServerResponse> getList(HttpCall call) {
        List<KeeperCandidate> candidates = candidates();
        String digest = Integer.toHexString(candidates.hashCode());
        boolean callerHasList = call.query(DIGEST_PARAMETER).filter(digest::equals).isPresent();
        KeeperList list = new KeeperList(digest, callerHasList ? null : candidates);
        return CompletableFuture.completedFuture(HttpServerResponse.json(list));
    }
}
