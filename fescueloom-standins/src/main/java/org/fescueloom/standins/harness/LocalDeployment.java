package org.fescueloom.standins.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.json.Json;
import org.fescueloom.standins.Faults;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.StandInMain;
import org.fescueloom.standins.StandInResponse;
import org.fescueloom.standins.upstream.UpstreamRecords;

/**
 * Runs a log service stand-in, entries, agents and upstream stand-ins as processes on the loopback
 * interface.
 */
public final class LocalDeployment implements AutoCloseable {
    private static final String DAEMON_CLASS = "org.fescueloom.daemon.DaemonMain";

    /** JVM options that keep the memory of a stand-in process small. */
    private static final List<String> STAND_IN_JVM_OPTIONS =
            List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private static final MediaType JSON = MediaType.get(StandInResponse.JSON);

    /** The longest time that an HTTP call or a wait for a state takes. */
    private static final Duration TIMEOUT = Duration.ofSeconds(30L);

    private static final long POLL_MILLIS = 100L;

    private final ProcessHarness harness;
    private final List<String> daemonJvmOptions;
    private final OkHttpClient client = new OkHttpClient.Builder().callTimeout(TIMEOUT).build();
    private final List<ManagedProcess> entries = new ArrayList<>();
    private final List<ManagedProcess> agents = new ArrayList<>();
    private final List<ManagedProcess> upstreams = new ArrayList<>();
    private final Map<String, Path> settingsFiles = new HashMap<>();
    private final List<SilentRelay> relays = new ArrayList<>();
    private ManagedProcess logService;

    /**
     * Creates a deployment without processes.
     *
     * @param directory the directory for the output and the settings files of the processes, not
     *     null
     * @param daemonJvmOptions the JVM options of the entries and agents, not null
     */
    public LocalDeployment(Path directory, List<String> daemonJvmOptions) {
        harness = new ProcessHarness(directory);
        this.daemonJvmOptions = List.copyOf(daemonJvmOptions);
    }

    /**
     * Starts the log service and the entries.
     *
     * @param zones the availability zone of each entry, not null
     */
    public void startEntries(List<String> zones) {
        logService = standIn("log", List.of("log"));
        List<String> addresses = zones.stream().map(z -> freeAddress()).toList();
        for (int i = 0; i < zones.size(); i++) {
            String name = "entry-" + i;
            writeSettings(
                    name, "entry", zones.get(i), addresses.get(i), addresses.get(i), addresses);
            entries.add(daemon(name));
        }
    }

    /**
     * Starts an agent and its upstream. Both have the same index in {@link #agents} and {@link
     * #upstreams}.
     *
     * @param id the identifier of the upstream, not null
     * @param zone the availability zone of the agent, not null
     * @param options further options of the upstream stand-in, not null
     */
    public void startAgentAndUpstream(String id, String zone, String... options) {
        String listenAddress = freeAddress();
        startAgentAndUpstream(id, zone, listenAddress, listenAddress, options);
    }

    /**
     * Starts an agent, its upstream, and a relay through which the entries reach the agent.
     *
     * @param id the identifier of the upstream, not null
     * @param zone the availability zone of the agent, not null
     * @param options further options of the upstream stand-in, not null
     * @return the relay, never null
     */
    public SilentRelay startRelayedUpstream(String id, String zone, String... options) {
        String listenAddress = freeAddress();
        try {
            SilentRelay relay = new SilentRelay(ListenAddress.parse(listenAddress));
            relays.add(relay);
            startAgentAndUpstream(id, zone, listenAddress, relay.address(), options);
            return relay;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startAgentAndUpstream(
            String id,
            String zone,
            String listenAddress,
            String advertisedAddress,
            String... options) {
        String name = "agent-" + id;
        writeSettings(name, "agent", zone, listenAddress, advertisedAddress, entryAddresses());
        ManagedProcess agent = daemon(name);
        agents.add(agent);
        List<String> arguments = new ArrayList<>();
        arguments.addAll(List.of("upstream", "--upstream", id, "--agent", listenAddress));
        arguments.addAll(List.of(options));
        upstreams.add(standIn(id, arguments));
    }

    /**
     * Restarts an agent that has ended, with the same settings file.
     *
     * @param index the index of the agent in {@link #agents}
     */
    public void restartAgent(int index) {
        agents.set(index, daemon(agents.get(index).name()));
    }

    /**
     * Publishes a configuration through the first entry; retries until the entry accepts the
     * document or the timeout expires.
     *
     * @param document the configuration, not null
     * @throws IllegalStateException if the entry does not accept the document in time
     */
    public void publish(ConfigurationDocument document) {
        long endNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!tryPublish(document)) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException(
                        "the first entry did not accept the configuration within "
                                + TIMEOUT.toSeconds()
                                + " s");
            }
            pause();
        }
    }

    /**
     * Waits until each entry lists at least a given number of the started upstreams.
     *
     * @param count the number of upstreams that each entry must list at least
     * @throws IllegalStateException if an entry lists fewer upstreams when the timeout expires
     */
    public void awaitUpstreams(int count) {
        long endNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (entries.stream().anyMatch(e -> listedUpstreams(e) < count)) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException(
                        "an entry lists fewer than "
                                + count
                                + " upstreams after "
                                + TIMEOUT.toSeconds()
                                + " s");
            }
            pause();
        }
    }

    /**
     * Replaces the faults of a stand-in.
     *
     * @param process the process of the stand-in, not null
     * @param faults the new faults, not null
     */
    public void faults(ManagedProcess process, Faults faults) {
        call("PUT", process.address(), "/faults", Json.write(faults), Map.of());
    }

    /**
     * Returns the runs of requests and the protocol violations that an upstream has recorded.
     *
     * @param index the index of the upstream in {@link #upstreams}
     * @return the records, never null
     */
    public UpstreamRecords records(int index) {
        return Json.read(get(upstreams.get(index), "/records"), UpstreamRecords.class);
    }

    /**
     * Sends a GET request to a process.
     *
     * @param process the process, not null
     * @param path the path, not null
     * @return the body of the response, never null; the status is not checked
     */
    public byte[] get(ManagedProcess process, String path) {
        return call("GET", process.address(), path, null, Map.of()).body();
    }

    /**
     * Sends a request to the first entry, as an operator would.
     *
     * @param method the HTTP method, not null
     * @param path the path, not null
     * @param body the value to send as JSON, not null
     * @return the HTTP status of the response
     */
    public int sendOperatorRequest(String method, String path, Object body) {
        return call(method, entries.get(0).address(), path, Json.write(body), Map.of()).status();
    }

    /**
     * Returns the process of the log service.
     *
     * @return the process; null before {@link #startEntries}
     */
    public ManagedProcess logService() {
        return logService;
    }

    /**
     * Returns the entries.
     *
     * @return the processes in the order of their starts, never null
     */
    public List<ManagedProcess> entries() {
        return List.copyOf(entries);
    }

    /**
     * Returns the agents.
     *
     * @return the processes in the order of their starts, never null
     */
    public List<ManagedProcess> agents() {
        return List.copyOf(agents);
    }

    /**
     * Returns the upstreams.
     *
     * @return the processes in the order of their starts, never null
     */
    public List<ManagedProcess> upstreams() {
        return List.copyOf(upstreams);
    }

    /**
     * Returns the addresses on which the entries listen.
     *
     * @return the addresses in the order of the starts, never null
     */
    public List<String> entryAddresses() {
        return entries.stream().map(ManagedProcess::address).toList();
    }

    @Override
    public void close() {
        relays.forEach(SilentRelay::close);
        harness.close();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private boolean tryPublish(ConfigurationDocument document) {
        String entry = entries.get(0).address();
        CallResult current = call("GET", entry, "/v1/config", null, Map.of());
        // Version -1 stands for the absence of a configuration.
        String version = current.etag() == null ? "\"-1\"" : current.etag();
        byte[] body = Json.write(document);
        int status = call("PUT", entry, "/v1/config", body, Map.of("If-Match", version)).status();
        return status == 200;
    }

    /** Returns how many of the started upstreams an entry lists. */
    private int listedUpstreams(ManagedProcess entry) {
        String text = new String(get(entry, "/v1/upstreams"));
        return (int) upstreams.stream().filter(u -> text.contains("\"" + u.name() + "\"")).count();
    }

    private CallResult call(
            String method, String address, String path, byte[] body, Map<String, String> headers) {
        RequestBody requestBody = body == null ? null : RequestBody.create(body, JSON);
        Request.Builder request =
                new Request.Builder().url("http://" + address + path).method(method, requestBody);
        headers.forEach(request::header);
        try (Response response = client.newCall(request.build()).execute()) {
            return new CallResult(
                    response.code(), response.header("ETag"), response.body().bytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ManagedProcess standIn(String name, List<String> arguments) {
        return harness.start(name, StandInMain.class.getName(), STAND_IN_JVM_OPTIONS, arguments);
    }

    private ManagedProcess daemon(String name) {
        List<String> arguments = List.of("--config", settingsFiles.get(name).toString());
        return harness.start(name, DAEMON_CLASS, daemonJvmOptions, arguments);
    }

    private void writeSettings(
            String name,
            String role,
            String zone,
            String listenAddress,
            String advertisedAddress,
            List<String> knownEntries) {
        Map<String, Object> document = new HashMap<>();
        document.put("role", role);
        document.put("member", name);
        document.put("zone", zone);
        document.put("listen", listenAddress);
        document.put("advertise", advertisedAddress);
        document.put("entries", knownEntries);
        document.put("logService", List.of(logService.address()));
        Path file = harness.directory().resolve(name + ".json");
        try {
            Files.write(file, Json.write(document));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        settingsFiles.put(name, file);
    }

    /**
     * Returns a loopback address with a free port. Another process can take the port before it is
     * used.
     */
    private static String freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record CallResult(int status, String etag, byte[] body) {}
}
