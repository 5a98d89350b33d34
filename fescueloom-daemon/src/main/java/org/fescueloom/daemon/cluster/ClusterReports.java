package org.fescueloom.daemon.cluster;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.fescueloom.config.ConfigurationView;
import org.fescueloom.config.Zone;
import org.fescueloom.member.Member;
import org.fescueloom.report.AcceleratorReport;
import org.fescueloom.report.AcceleratorUse;
import org.fescueloom.report.MemberReport;
import org.fescueloom.report.StatusReport;
import org.fescueloom.report.UpstreamReport;
import org.fescueloom.report.UpstreamsReport;
import org.fescueloom.report.WorkerSummary;
import org.fescueloom.report.WorkersReport;
import org.fescueloom.report.ZoneReport;
import org.fescueloom.wire.AgentStatus;
import org.fescueloom.wire.WorkerCapacity;

/** Builds the reports on members and zones for operators. */
final class ClusterReports {
    private final Cluster cluster;
    private final OperatorHooks hooks;

    ClusterReports(Cluster cluster, OperatorHooks hooks) {
        this.cluster = cluster;
        this.hooks = hooks;
    }

    StatusReport createStatusReport() {
        long now = Clocks.monotonicMillis();
        ConfigurationView view = cluster.configurationView();
        long age = view.ageMillis(now);
        return new StatusReport(
                cluster.memberId(),
                cluster.zone(),
                view.version(),
                age == Long.MAX_VALUE ? -1L : age,
                cluster.isLogReachable(),
                hooks.plannerId().orElse(null),
                view.document().zones().stream().map(z -> createZoneReport(z, now)).toList(),
                Stream.concat(
                                cluster.members().entries(now).stream(),
                                cluster.members().agents(now).stream())
                        .map(m -> createMemberReport(m, now))
                        .toList(),
                hooks.jobCounts());
    }

    UpstreamsReport createUpstreamsReport() {
        long now = Clocks.monotonicMillis();
        return new UpstreamsReport(
                cluster.members().agents(now).stream()
                        .filter(m -> m.announcement().agent() != null)
                        .map(m -> createUpstreamReport(m, now))
                        .toList());
    }

    WorkersReport createWorkersReport() {
        long now = Clocks.monotonicMillis();
        return new WorkersReport(
                cluster.members().workers(now).stream()
                        .filter(m -> m.announcement().worker() != null)
                        .map(m -> summarizeWorker(m, now))
                        .toList());
    }

    private WorkerSummary summarizeWorker(Member m, long now) {
        long age = now - m.lastHeardMillis();
        return hooks.workerSummary(m, age).orElseGet(() -> summarizeAnnouncement(m, age));
    }

    private ZoneReport createZoneReport(Zone z, long now) {
        long upstreamCount = cluster.members().agents(now).stream().filter(isInZone(z)).count();
        List<WorkerSummary> workers =
                cluster.members().workers(now).stream()
                        .filter(isInZone(z))
                        .filter(m -> m.announcement().worker() != null)
                        .map(m -> summarizeWorker(m, now))
                        .toList();
        List<AcceleratorReport> accelerators =
                workers.stream().flatMap(w -> w.accelerators().stream()).toList();
        long busyAccelerators = accelerators.stream().filter(a -> a.job() != null).count();
        return new ZoneReport(
                z.name(),
                z.region(),
                z.state(),
                (int) upstreamCount,
                workers.size(),
                accelerators.size(),
                (int) busyAccelerators);
    }

    private static Predicate<Member> isInZone(Zone z) {
        return m -> m.zone().equals(z.name());
    }

    private static MemberReport createMemberReport(Member m, long now) {
        return new MemberReport(
                m.announcement().kind(),
                m.id(),
                m.zone(),
                m.address(),
                m.announcement().leaving(),
                m.announcement().configVersion(),
                now - m.lastHeardMillis());
    }

    private static UpstreamReport createUpstreamReport(Member m, long now) {
        AgentStatus status = m.announcement().agent();
        return new UpstreamReport(
                status.upstream(),
                m.id(),
                m.zone(),
                m.address(),
                m.announcement().leaving(),
                status.slots(),
                status.running(),
                status.queued(),
                status.serviceMicros(),
                now - m.lastHeardMillis());
    }

    private static WorkerSummary summarizeAnnouncement(Member m, long ageMillis) {
        WorkerCapacity capacity = m.announcement().worker();
        List<AcceleratorReport> accelerators =
                IntStream.range(0, capacity.accelerators())
                        .mapToObj(i -> new AcceleratorReport(i, AcceleratorUse.FREE, null, null))
                        .toList();
        return new WorkerSummary(
                m.id(),
                m.zone(),
                capacity.rack(),
                capacity.position(),
                m.state().text(),
                capacity.cpus(),
                capacity.memoryMb(),
                accelerators,
                ageMillis);
    }
}
