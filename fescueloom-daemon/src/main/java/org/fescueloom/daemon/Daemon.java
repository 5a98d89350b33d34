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

/** Runs one process of the system: its HTTP server, its metrics and the services of its role. */
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
        server.route(
                "GET",
                "/health/live",
                call -> completed(HttpServerResponse.json(Map.of("live", true))));
    }

    /**
     * Creates a daemon with the services of the role in the settings. The daemon does not listen
     * before {@link #start}.
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
     * Adds a service and registers its routes; must be called before {@link #start}.
     *
     * @param service the service, not null
     */
    public void addService(Service service) {
        services.add(Objects.requireNonNull(service, "service"));
        service.registerRoutes(server);
    }

    /**
     * Opens the listening socket, then starts the services in the order in which they were added.
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
     * Drains all services in the reverse order of their addition, then closes them in the same
     * order, then closes the server.
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
     * @return the address as "address:port", never null; after the start with the port in use
     */
    public String listenAddress() {
        return settings.listenHost() + ":" + server.port();
    }

    /**
     * Returns the address at which other processes reach the daemon.
     *
     * @return the advertised address of the settings as "address:port", never null; the listen
     *     address if the settings have none
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
     * Returns the metrics of the process.
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
