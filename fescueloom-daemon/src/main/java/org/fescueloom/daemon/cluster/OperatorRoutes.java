package org.fescueloom.daemon.cluster;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.config.ConfigurationChecker;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ConfigurationFault;
import org.fescueloom.config.ConfigurationView;
import org.fescueloom.config.ZoneState;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.report.VersionReport;

/** Answers the operators' calls on configuration, zones and members. */
final class OperatorRoutes {
    private static final String ETAG = "ETag";
    private static final String IF_MATCH = "If-Match";

    private final Cluster cluster;
    private final ConfigurationPublisher publisher;
    private final ZoneChanger zones;
    private final OperatorHooks hooks;
    private final ClusterReports reports;

    OperatorRoutes(
            Cluster cluster,
            ConfigurationPublisher publisher,
            ZoneChanger zones,
            OperatorHooks hooks) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
        this.publisher = Objects.requireNonNull(publisher, "publisher");
        this.zones = Objects.requireNonNull(zones, "zones");
        this.hooks = Objects.requireNonNull(hooks, "hooks");
        this.reports = new ClusterReports(cluster, hooks);
    }

    void install(HttpServer server) {
        server.route("GET", "/v1/config", call -> config());
        server.route("PUT", "/v1/config", this::publish);
        server.route("PUT", "/v1/zones/{zone}", this::changeZone);
        server.route("GET", "/v1/status", call -> reply(HttpReply.json(reports.status())));
        server.route("GET", "/v1/upstreams", call -> reply(HttpReply.json(reports.upstreams())));
        server.route("GET", "/v1/workers", call -> reply(HttpReply.json(reports.workers())));
    }

    private CompletableFuture<HttpReply> config() {
        ConfigurationView view = cluster.view();
        return reply(HttpReply.json(view.document()).withHeader(ETAG, tag(view.version())));
    }

    private CompletableFuture<HttpReply> publish(HttpCall call) {
        cluster.requireRunning();
        long base = parseTag(call.header(IF_MATCH).orElse(""));
        ConfigurationDocument document = call.readStrict(ConfigurationDocument.class);
        List<ConfigurationFault> faults = ConfigurationChecker.check(document);
        if (faults.isEmpty()) {
            faults = hooks.checkGuarantees(document);
        }
        if (!faults.isEmpty()) {
            cluster.metrics().countRefusal(FailureType.INVALID_CONFIGURATION);
            return reply(
                    HttpReply.json(
                            FailureType.INVALID_CONFIGURATION.status(),
                            ConfigurationFaults.of(faults)));
        }
        return publisher
                .publish(base, document)
                .whenComplete((version, error) -> countRefusal(error))
                .thenApply(
                        version ->
                                HttpReply.json(new VersionReport(version))
                                        .withHeader(ETAG, tag(version)));
    }

    private CompletableFuture<HttpReply> changeZone(HttpCall call) {
        cluster.requireRunning();
        ZoneRequest request = call.readStrict(ZoneRequest.class);
        return zones.change(call.path("zone"), request.state())
                .whenComplete((report, error) -> countRefusal(error))
                .thenApply(HttpReply::json);
    }

    private void countRefusal(Throwable error) {
        if (error != null) {
            cluster.metrics().countRefusal(Failures.typeOf(error));
        }
    }

    private static CompletableFuture<HttpReply> reply(HttpReply value) {
        return CompletableFuture.completedFuture(value);
    }

    private static String tag(long version) {
        return "\"" + version + "\"";
    }

    private static long parseTag(String text) {
        String digits = text.trim().replace("\"", "");
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException e) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD,
                    "If-Match must name the version that is replaced, such as \"12\"",
                    0L,
                    e);
        }
    }

    private record ZoneRequest(ZoneState state) {
        ZoneRequest {
            Objects.requireNonNull(state, "state");
        }
    }
}
