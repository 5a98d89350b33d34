package org.fescueloom.daemon.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.daemon.http.HttpReply;
import org.fescueloom.daemon.http.HttpServer;
import org.fescueloom.member.Member;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.AnnouncementReply;
import org.fescueloom.wire.MemberKind;

/** Answers announcements and the balancer's questions. */
final class ClusterRoutes {
    private static final int STATUS_NOT_READY = 503;

    private final Cluster cluster;

    ClusterRoutes(Cluster cluster) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
    }

    void install(HttpServer server) {
        server.route("POST", AnnouncementClient.PATH, this::announce);
        server.route("GET", "/health/ready", call -> ready());
    }

    private CompletableFuture<HttpReply> announce(HttpCall call) {
        Announcement announcement = call.read(Announcement.class);
        long now = Clocks.monotonicMillis();
        if (cluster.members().recordAnnouncement(announcement, now)) {
            cluster.metrics().count("announcements.heard");
            if (announcement.kind() == MemberKind.ENTRY) {
                cluster.directory().recordListed(List.of(announcement.address()), now);
            }
        } else {
            cluster.metrics().count("announcements.outdated");
        }
        List<String> entries = new ArrayList<>();
        entries.add(cluster.address());
        cluster.members().entries(now).stream().map(Member::address).forEach(entries::add);
        AnnouncementReply reply =
                new AnnouncementReply(
                        cluster.member(),
                        entries.stream().distinct().toList(),
                        cluster.configuration().proof(announcement.configVersion()));
        return CompletableFuture.completedFuture(HttpReply.json(reply));
    }

    private CompletableFuture<HttpReply> ready() {
        boolean ready = cluster.ready();
        return CompletableFuture.completedFuture(
                HttpReply.json(ready ? HttpReply.OK : STATUS_NOT_READY, Map.of("ready", ready)));
    }
}
