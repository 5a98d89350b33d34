package org.fescueloom.daemon.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.daemon.cluster.OperatorHooks;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.Job;
import org.fescueloom.member.Member;
import org.fescueloom.report.AcceleratorReport;
import org.fescueloom.report.AcceleratorUse;
import org.fescueloom.report.WorkerSummary;
import org.fescueloom.wire.WorkerCapacity;

/** Answers what operators ask about jobs, workers and guarantees. */
public final class JobOperatorHooks implements OperatorHooks {
    private final JobSystem jobs;

    /**
     * Creates the hooks.
     *
     * @param jobs the job path of this process, not null
     */
    public JobOperatorHooks(JobSystem jobs) {
        this.jobs = Objects.requireNonNull(jobs, "jobs");
    }

    @Override
    public List<String> brokenGuarantees(ConfigurationDocument document) {
        return jobs.board().broken().stream()
                .map(
                        b ->
                                "%s: %d of %d blocks of %d accelerators, adjacency %s"
                                        .formatted(
                                                b.customer(),
                                                b.missingBlocks(),
                                                b.shape().blocks(),
                                                b.shape().accelerators(),
                                                b.shape().adjacency().text()))
                .toList();
    }

    @Override
    public Optional<String> planner() {
        return jobs.planner();
    }

    @Override
    public Map<String, Integer> jobCounts() {
        return jobs.jobCounts();
    }

    @Override
    public Optional<WorkerSummary> worker(Member worker, long ageMillis) {
        WorkerCapacity capacity = worker.announcement().worker();
        if (capacity == null) {
            return Optional.empty();
        }
        return Optional.of(
                new WorkerSummary(
                        worker.id(),
                        worker.announcement().zone(),
                        capacity.rack(),
                        capacity.position(),
                        jobs.condition(worker).text(),
                        capacity.cpus(),
                        capacity.memoryMb(),
                        accelerators(worker.id(), capacity.accelerators()),
                        ageMillis));
    }

    private List<AcceleratorReport> accelerators(String worker, int count) {
        Map<Integer, AcceleratorReport> used = new HashMap<>();
        for (GangPlaced gang : jobs.ledger().openGangs()) {
            Optional<Job> job = jobs.ledger().job(gang.job());
            String customer = job.map(j -> j.spec().customer()).orElse(null);
            AcceleratorUse use =
                    gang.claims().isEmpty() ? AcceleratorUse.BORROWED : AcceleratorUse.GUARANTEED;
            for (GangMember member : gang.members()) {
                if (member.worker().equals(worker)) {
                    member.accelerators()
                            .forEach(
                                    place ->
                                            used.put(
                                                    place,
                                                    new AcceleratorReport(
                                                            place, use, customer, gang.job())));
                }
            }
        }
        List<AcceleratorReport> reports = new ArrayList<>();
        for (int place = 0; place < count; place++) {
            AcceleratorReport free = new AcceleratorReport(place, AcceleratorUse.FREE, null, null);
            reports.add(used.getOrDefault(place, free));
        }
        return reports;
    }
}
