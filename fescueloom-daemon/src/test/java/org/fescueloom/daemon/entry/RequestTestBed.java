package org.fescueloom.daemon.entry;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.ServiceClass;
import org.fescueloom.config.Zone;
import org.fescueloom.daemon.agent.AgentService;
import org.fescueloom.daemon.agent.StartGate;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.json.Json;
import org.fescueloom.member.Member;
import org.fescueloom.member.MemberState;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.Headers;
import org.fescueloom.wire.MemberKind;
import org.fescueloom.wire.UpstreamRegistration;

/** Runs entries, agents and minimal upstreams in this process, connected over loopback. */
final class RequestTestBed implements AutoCloseable {
    static final String SERVICE_CLASS = "culvert";
    static final long TARGET_MILLIS = 5_000;
    static final String CUSTOMER = "parks";
    private static final int MAX_BODY_BYTES = 4 << 20;

    final ConfigurationDocument config =
            new ConfigurationDocument(
                    List.of(new ServiceClass(SERVICE_CLASS, TARGET_MILLIS, 0, 1 << 20)),
                    List.of(new CustomerPolicy(CUSTOMER, 0.5, null)),
                    List.of(new Zone("north-yard", null, null, null)));
    final List<AgentNode> agentNodes = new CopyOnWriteArrayList<>();
    final List<Entry> entries = new CopyOnWriteArrayList<>();
    final HttpClient callerClient = HttpClient.newHttpClient();
    private final List<Runnable> closeActions = new ArrayList<>();

    /** Holds an entry with its server. */
    record Entry(RequestService service, HttpServer server, Metrics metrics) {}

    /** Holds an agent with its upstream. */
    static final class AgentNode {
        final String name;
        final long incarnation;
        final Metrics metrics = new Metrics();
        final Upstream upstream = new Upstream();
        final HttpServer server = new HttpServer("127.0.0.1", 0, MAX_BODY_BYTES);
        final AgentService service;

        /** Whether the entries do not know this agent. */
        volatile boolean unannounced;

        /** Whether the announcements never report that the agent is leaving. */
        volatile boolean announcedAsStaying;

        /** Whether the periodic registration reports that the upstream is leaving. */
        volatile boolean upstreamLeaving;

        /** The announced address of the agent; null for its real address. */
        volatile String announcedAddress;

        AgentNode(String name, long incarnation, ConfigurationDocument config) {
            this.name = name;
            this.incarnation = incarnation;
            service =
                    new AgentService(incarnation, StartGate.OPEN, () -> config, metrics, () -> {});
            service.registerRoutes(server);
            server.start();
            service.start(address());
        }

        String address() {
            return "127.0.0.1:" + server.port();
        }

        private boolean announcedLeaving() {
            return !announcedAsStaying && service.isLeaving();
        }

        Member member() {
            String address = announcedAddress == null ? address() : announcedAddress;
            Announcement announcement =
                    new Announcement(
                            MemberKind.AGENT,
                            name,
                            incarnation,
                            address,
                            "north-yard",
                            announcedLeaving(),
                            1,
                            service.status(),
                            null);
            MemberState state = announcedLeaving() ? MemberState.LEAVING : MemberState.ALIVE;
            // The value changes every 100 ms, after which entries use the new status.
            return new Member(announcement, System.nanoTime() / 100_000_000L, state);
        }
    }

    /** Responds to attempts with "echo:" and the body, and counts the runs of each request. */
    static final class Upstream {
        final HttpServer server = new HttpServer("127.0.0.1", 0, MAX_BODY_BYTES);
        final Map<String, AtomicInteger> runsByRequest = new ConcurrentHashMap<>();
        final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        volatile long responseDelayMillis;
        volatile int responseStatus = HttpServerResponse.OK;

        /** The attempt identifier in each response; null for the one of the attempt. */
        volatile String echoedAttemptId;

        Upstream() {
            server.route("POST", "/v1/classes/{class}/requests", this::serve);
            server.start();
        }

        private CompletableFuture<HttpServerResponse> serve(HttpCall call) {
            String id = call.header(Headers.REQUEST_ID).orElseThrow();
            runsByRequest.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            byte[] prefix = "echo:".getBytes(StandardCharsets.UTF_8);
            byte[] body = Arrays.copyOf(prefix, prefix.length + call.body().length);
            System.arraycopy(call.body(), 0, body, prefix.length, call.body().length);
            String attempt =
                    echoedAttemptId == null
                            ? call.header(Headers.ATTEMPT_ID).orElseThrow()
                            : echoedAttemptId;
            HttpServerResponse httpResponse =
                    new HttpServerResponse(
                            responseStatus,
                            "text/plain",
                            Map.of(Headers.ATTEMPT_ID, attempt),
                            body);
            CompletableFuture<HttpServerResponse> delayed = new CompletableFuture<>();
            timer.schedule(
                    () -> delayed.complete(httpResponse),
                    responseDelayMillis,
                    TimeUnit.MILLISECONDS);
            return delayed;
        }

        int runCount(String id) {
            AtomicInteger count = runsByRequest.get(id);
            return count == null ? 0 : count.get();
        }
    }

    AgentNode startAgent(String name, int slots) {
        return startAgent(name, slots, 1);
    }

    AgentNode startAgent(String name, int slots, long incarnation) {
        AgentNode node = new AgentNode(name, incarnation, config);
        agentNodes.add(node);
        closeActions.add(node.service::close);
        closeActions.add(node.server::close);
        closeActions.add(node.upstream.server::close);
        closeActions.add(node.upstream.timer::shutdownNow);
        register(node, slots, false);
        node.upstream.timer.scheduleAtFixedRate(
                () -> register(node, slots, node.upstreamLeaving), 1, 1, TimeUnit.SECONDS);
        return node;
    }

    void register(AgentNode node, int slots, boolean leaving) {
        node.upstreamLeaving = leaving;
        UpstreamRegistration registration =
                new UpstreamRegistration(
                        "up-" + node.name,
                        "127.0.0.1:" + node.upstream.server.port(),
                        slots,
                        64,
                        leaving);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + node.address() + "/v1/upstream"))
                        .PUT(HttpRequest.BodyPublishers.ofByteArray(Json.write(registration)))
                        .build();
        send(request).join();
    }

    Entry startEntry(String name) {
        HttpServer server = new HttpServer("127.0.0.1", 0, MAX_BODY_BYTES);
        Metrics metrics = new Metrics();
        RequestService service =
                new RequestService(name, 1, "north-yard", this::members, () -> config, metrics);
        service.registerRoutes(server);
        server.start();
        service.start("127.0.0.1:" + server.port());
        Entry entry = new Entry(service, server, metrics);
        entries.add(entry);
        closeActions.add(service::close);
        closeActions.add(server::close);
        return entry;
    }

    List<Member> members() {
        return agentNodes.stream()
                .filter(node -> !node.unannounced)
                .map(AgentNode::member)
                .toList();
    }

    CompletableFuture<HttpResponse<byte[]>> sendRequest(
            Entry entry, byte[] body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + entry.server().port()
                                                + "/v1/classes/"
                                                + SERVICE_CLASS
                                                + "/requests"))
                        .header(Headers.CUSTOMER, CUSTOMER)
                        .timeout(Duration.ofSeconds(60))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return send(request.build());
    }

    CompletableFuture<HttpResponse<byte[]>> send(HttpRequest request) {
        return callerClient.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    @Override
    public void close() {
        closeActions.forEach(Runnable::run);
    }
}
