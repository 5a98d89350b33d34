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
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.report.VersionReport;

/** Serves the requests of operators on the configuration, zones, members and workers. */
final class OperatorRoutes {
    private static final String ETAG = "ETag";
    private static final String IF_MATCH = "If-Match";

    private final Cluster cluster;
    private final ConfigurationPublisher publisher;
    private final ZoneChanger zoneChanger;
    private final OperatorHooks hooks;
    private final ClusterReports reports;

    OperatorRoutes(
            Cluster cluster,
            ConfigurationPublisher publisher,
            ZoneChanger zoneChanger,
            OperatorHooks hooks) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
        this.publisher = Objects.requireNonNull(publisher, "publisher");
        this.zoneChanger = Objects.requireNonNull(zoneChanger, "zones");
        this.hooks = Objects.requireNonNull(hooks, "hooks");
        this.reports = new ClusterReports(cluster, hooks);
    }

    void install(HttpServer server) {
        server.route("GET", "/v1/config", call -> getConfiguration());
        server.route("PUT", "/v1/config", this::putConfiguration);
        server.route("PUT", "/v1/zones/{zone}", this::changeZone);
        server.route(
                "GET",
                "/v1/status",
                call -> completed(HttpServerResponse.json(reports.createStatusReport())));
        server.route(
                "GET",
                "/v1/upstreams",
                call -> completed(HttpServerResponse.json(reports.createUpstreamsReport())));
        server.route(
                "GET",
                "/v1/workers",
                call -> completed(HttpServerResponse.json(reports.createWorkersReport())));
    }

    private CompletableFuture<HttpServerResponse> getConfiguration() {
        ConfigurationView view = cluster.configurationView();
        return completed(
                HttpServerResponse.json(view.document())
                        .withHeader(ETAG, entityTag(view.version())));
    }

    private CompletableFuture<HttpServerResponse> putConfiguration(HttpCall call) {
        cluster.requireNotDraining();
        long baseVersion = parseVersion(call.header(IF_MATCH).orElse(""));
        ConfigurationDocument document = call.readStrict(ConfigurationDocument.class);
        List<ConfigurationFault> faults = ConfigurationChecker.check(document);
        if (faults.isEmpty()) {
            faults = hooks.checkGuarantees(document);
        }
        if (!faults.isEmpty()) {
            cluster.metrics().countRefusal(FailureType.INVALID_CONFIGURATION);
            return completed(
                    HttpServerResponse.json(
                            FailureType.INVALID_CONFIGURATION.status(),
                            ConfigurationFaultsBody.of(faults)));
        }
        return publisher
                .publish(baseVersion, document)
                .whenComplete((version, error) -> countRefusal(error))
                .thenApply(
                        version ->
                                HttpServerResponse.json(new VersionReport(version))
                                        .withHeader(ETAG, entityTag(version)));
    }

    private CompletableFuture<HttpServerResponse> changeZone(HttpCall call) {
        cluster.requireNotDraining();
        ZoneRequest request = call.readStrict(ZoneRequest.class);
        return zoneChanger
                .change(call.pathVariable("zone"), request.state())
                .whenComplete((report, error) -> countRefusal(error))
                .thenApply(HttpServerResponse::json);
    }

    private void countRefusal(Throwable error) {
        if (error != null) {
            cluster.metrics().countRefusal(Failures.typeOf(error));
        }
    }

    private static CompletableFuture<HttpServerResponse> completed(HttpServerResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private static String entityTag(long version) {
        return "\"" + version + "\"";
    }

    private static long parseVersion(String ifMatch) {
        String digits = ifMatch.trim().replace("\"", "");
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException e) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD,
                    "If-Match must contain the version to replace, such as \"12\"; got: " + ifMatch,
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
