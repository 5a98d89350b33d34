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

/** Creates the reports on members, zones, upstreams and workers for operators. */
final class ClusterReports {
    private final Cluster cluster;
    private final OperatorHooks hooks;

    ClusterReports(Cluster cluster, OperatorHooks hooks) {
        this.cluster = cluster;
        this.hooks = hooks;
    }

    StatusReport createStatusReport() {
        long nowMillis = Clocks.monotonicMillis();
        ConfigurationView view = cluster.configurationView();
        long ageMillis = view.ageMillis(nowMillis);
        return new StatusReport(
                cluster.memberId(),
                cluster.zone(),
                view.version(),
                // The report shows an unknown age as -1.
                ageMillis == Long.MAX_VALUE ? -1L : ageMillis,
                cluster.isLogReachable(),
                hooks.plannerId().orElse(null),
                view.document().zones().stream()
                        .map(zone -> createZoneReport(zone, nowMillis))
                        .toList(),
                Stream.concat(
                                cluster.members().entries(nowMillis).stream(),
                                cluster.members().agents(nowMillis).stream())
                        .map(member -> createMemberReport(member, nowMillis))
                        .toList(),
                hooks.jobCounts());
    }

    UpstreamsReport createUpstreamsReport() {
        long nowMillis = Clocks.monotonicMillis();
        return new UpstreamsReport(
                cluster.members().agents(nowMillis).stream()
                        .filter(agent -> agent.announcement().agent() != null)
                        .map(agent -> createUpstreamReport(agent, nowMillis))
                        .toList());
    }

    WorkersReport createWorkersReport() {
        long nowMillis = Clocks.monotonicMillis();
        return new WorkersReport(
                cluster.members().workers(nowMillis).stream()
                        .filter(worker -> worker.announcement().worker() != null)
                        .map(worker -> summarizeWorker(worker, nowMillis))
                        .toList());
    }

    private WorkerSummary summarizeWorker(Member worker, long nowMillis) {
        long ageMillis = nowMillis - worker.lastHeardMillis();
        return hooks.workerSummary(worker, ageMillis)
                .orElseGet(() -> summarizeUnusedWorker(worker, ageMillis));
    }

    private ZoneReport createZoneReport(Zone zone, long nowMillis) {
        long upstreamCount =
                cluster.members().agents(nowMillis).stream().filter(isInZone(zone)).count();
        List<WorkerSummary> workers =
                cluster.members().workers(nowMillis).stream()
                        .filter(isInZone(zone))
                        .filter(worker -> worker.announcement().worker() != null)
                        .map(worker -> summarizeWorker(worker, nowMillis))
                        .toList();
        List<AcceleratorReport> accelerators =
                workers.stream().flatMap(summary -> summary.accelerators().stream()).toList();
        long busyAccelerators =
                accelerators.stream().filter(accelerator -> accelerator.job() != null).count();
        return new ZoneReport(
                zone.name(),
                zone.region(),
                zone.state(),
                (int) upstreamCount,
                workers.size(),
                accelerators.size(),
                (int) busyAccelerators);
    }

    private static Predicate<Member> isInZone(Zone zone) {
        return member -> member.zone().equals(zone.name());
    }

    private static MemberReport createMemberReport(Member member, long nowMillis) {
        return new MemberReport(
                member.announcement().kind(),
                member.id(),
                member.zone(),
                member.address(),
                member.announcement().leaving(),
                member.announcement().configVersion(),
                nowMillis - member.lastHeardMillis());
    }

    private static UpstreamReport createUpstreamReport(Member agent, long nowMillis) {
        AgentStatus status = agent.announcement().agent();
        return new UpstreamReport(
                status.upstream(),
                agent.id(),
                agent.zone(),
                agent.address(),
                agent.announcement().leaving(),
                status.slots(),
                status.running(),
                status.queued(),
                status.serviceMicros(),
                nowMillis - agent.lastHeardMillis());
    }

    /** Creates the summary of a worker from its announcement, with all accelerators free. */
    private static WorkerSummary summarizeUnusedWorker(Member worker, long ageMillis) {
        WorkerCapacity capacity = worker.announcement().worker();
        List<AcceleratorReport> accelerators =
                IntStream.range(0, capacity.accelerators())
                        .mapToObj(
                                index ->
                                        new AcceleratorReport(
                                                index, AcceleratorUse.FREE, null, null))
                        .toList();
        return new WorkerSummary(
                worker.id(),
                worker.zone(),
                capacity.rack(),
                capacity.position(),
                worker.state().text(),
                capacity.cpus(),
                capacity.memoryMb(),
                accelerators,
                ageMillis);
    }
}
