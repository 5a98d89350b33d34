package org.fescueloom.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.daemon.settings.Settings;
import org.tinylog.Logger;

/** Runs one daemon, an entry or an agent: its HTTP server, its metrics and its services. */
public final class Daemon implements AutoCloseable {
    private final Settings settings;
    private final Metrics metrics = new Metrics();
    private final HttpServer server;
    private final List<Service> services = new ArrayList<>();

    private Daemon(Settings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.server =
                new HttpServer(
                        settings.listenHost(),
                        settings.listenPort(),
                        settings.limits().maxBodyBytes());
        server.route("GET", "/metrics", call -> completed(metricsResponse()));
        // Liveness only: does not depend on the state of the services.
        server.route(
                "GET",
                "/health/live",
                call -> completed(HttpServerResponse.json(Map.of("live", true))));
    }

    /**
     * Creates a daemon with the services that its role needs. The daemon does not listen before
     * {@link #start}.
     *
     * @param settings the settings, not null
     * @return the daemon, never null
     */
    public static Daemon create(Settings settings) {
        Daemon daemon = new Daemon(settings);
        switch (settings.role()) {
            case ENTRY -> EntryRole.addServices(daemon);
            case AGENT -> AgentRole.addServices(daemon);
            default -> throw new IllegalArgumentException("unknown role: " + settings.role());
        }
        return daemon;
    }

    /**
     * Adds a service and registers its routes; must be called before {@link #start}. The services
     * start in the order in which they are added.
     *
     * @param service the service, not null
     */
    public void addService(Service service) {
        services.add(Objects.requireNonNull(service, "service"));
        service.registerRoutes(server);
    }

    /**
     * Opens the listening socket, then starts the services in the order in which they were added.
     * The socket comes first because the services receive the advertised address, which may contain
     * the port that the operating system chose.
     */
    public void start() {
        server.start();
        services.forEach(service -> service.start(advertisedAddress()));
        Logger.info(
                "event=started role={} zone={} address={}",
                settings.role().text(),
                settings.zone(),
                listenAddress());
    }

    /**
     * Drains all services, the last added first, then closes them, again the last added first, then
     * closes the server.
     */
    @Override
    public void close() {
        Logger.info("event=draining");
        for (int i = services.size() - 1; i >= 0; i--) {
            services.get(i).drain();
        }
        for (int i = services.size() - 1; i >= 0; i--) {
            services.get(i).close();
        }
        server.close();
        Logger.info("event=stopped");
    }

    /**
     * Returns the address on which the daemon listens.
     *
     * @return the IP address and the port, such as "10.0.0.7:7100", never null; if the settings
     *     have port 0, the port is known only after {@link #start}
     */
    public String listenAddress() {
        return settings.listenHost() + ":" + server.port();
    }

    /**
     * Returns the address at which other processes reach the daemon.
     *
     * @return the advertised address of the settings, never null; the listen address if the
     *     settings have no advertised address
     */
    public String advertisedAddress() {
        return settings.advertise() == null ? listenAddress() : settings.advertise();
    }

    /**
     * Returns the settings of the daemon.
     *
     * @return the settings, never null
     */
    public Settings settings() {
        return settings;
    }

    /**
     * Returns the metrics of the daemon.
     *
     * @return the metrics, never null
     */
    public Metrics metrics() {
        return metrics;
    }

    private HttpServerResponse metricsResponse() {
        return new HttpServerResponse(
                HttpServerResponse.OK, HttpServerResponse.JSON, Map.of(), metrics.toJson());
    }

    private static CompletableFuture<HttpServerResponse> completed(HttpServerResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
