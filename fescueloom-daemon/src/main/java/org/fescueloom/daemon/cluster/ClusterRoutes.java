package org.fescueloom.daemon.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.member.Member;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.AnnouncementReply;
import org.fescueloom.wire.MemberKind;

/** Serves the announcements of members and the readiness check of the load balancer. */
final class ClusterRoutes {
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;

    private final Cluster cluster;

    ClusterRoutes(Cluster cluster) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
    }

    void install(HttpServer server) {
        server.route("POST", AnnouncementClient.PATH, this::receiveAnnouncement);
        server.route("GET", "/health/ready", call -> reportReadiness());
    }

    private CompletableFuture<HttpServerResponse> receiveAnnouncement(HttpCall call) {
        Announcement announcement = call.read(Announcement.class);
        long nowMillis = Clocks.monotonicMillis();
        if (cluster.members().recordAnnouncement(announcement, nowMillis)) {
            cluster.metrics().count("announcements.heard");
            if (announcement.kind() == MemberKind.ENTRY) {
                cluster.directory().recordListed(List.of(announcement.address()), nowMillis);
            }
        } else {
            cluster.metrics().count("announcements.outdated");
        }
        List<String> entryAddresses = new ArrayList<>();
        entryAddresses.add(cluster.address());
        cluster.members().entries(nowMillis).stream()
                .map(Member::address)
                .forEach(entryAddresses::add);
        AnnouncementReply reply =
                new AnnouncementReply(
                        cluster.memberId(),
                        entryAddresses.stream().distinct().toList(),
                        cluster.configurationFollower()
                                .statusForPeer(announcement.configVersion()));
        return CompletableFuture.completedFuture(HttpServerResponse.json(reply));
    }

    private CompletableFuture<HttpServerResponse> reportReadiness() {
        boolean ready = cluster.isReady();
        return CompletableFuture.completedFuture(
                HttpServerResponse.json(
                        ready ? HttpServerResponse.OK : STATUS_SERVICE_UNAVAILABLE,
                        Map.of("ready", ready)));
    }
}
