package org.fescueloom.daemon.cluster;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.Request;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.daemon.settings.Role;
import org.fescueloom.daemon.settings.Settings;

/** Runs the {@link Cluster} of one daemon and sends requests to it. */
final class ClusterNode implements AutoCloseable {
    private static final HttpClient HTTP_CLIENT = new HttpClient(32, Duration.ofSeconds(1));
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
    private static final int MAX_BODY_BYTES = 1 << 20;

    final Metrics metrics = new Metrics();
    final Cluster cluster;
    private final HttpServer server = new HttpServer("127.0.0.1", 0, MAX_BODY_BYTES);

    ClusterNode(
            Role role,
            String memberId,
            String zone,
            String logAddress,
            List<String> entryAddresses) {
        this(role, memberId, zone, logAddress, entryAddresses, null);
    }

    /**
     * Starts a node.
     *
     * @param relay the relay through which others reach the node; null for none
     */
    ClusterNode(
            Role role,
            String memberId,
            String zone,
            String logAddress,
            List<String> entryAddresses,
            TcpRelay relay) {
        Settings settings =
                new Settings(
                        role,
                        memberId,
                        zone,
                        "127.0.0.1:0",
                        null,
                        entryAddresses,
                        List.of(logAddress),
                        null,
                        null);
        cluster = new Cluster(settings, metrics);
        cluster.registerRoutes(server);
        server.start();
        if (relay == null) {
            cluster.start(address());
        } else {
            relay.setTarget(address());
            cluster.start(relay.address());
        }
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    long version() {
        return cluster.configurationView().version();
    }

    long counter(String name) {
        return metrics.registry().counter(name).getCount();
    }

    CompletableFuture<HttpClientResponse> send(
            String method, String path, Object body, String ifMatch) {
        Request.Builder request = HttpClient.request(method, address(), path, body);
        if (ifMatch != null) {
            request.header("If-Match", ifMatch);
        }
        return HTTP_CLIENT.send(request.build(), CALL_TIMEOUT);
    }

    HttpClientResponse call(String method, String path, Object body, String ifMatch) {
        return send(method, path, body, ifMatch).join();
    }

    @Override
    public void close() {
        cluster.drain();
        cluster.close();
        server.close();
    }
}
