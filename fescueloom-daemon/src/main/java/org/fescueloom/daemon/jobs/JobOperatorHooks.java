package org.fescueloom.daemon.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ConfigurationFault;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.daemon.cluster.OperatorHooks;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.Job;
import org.fescueloom.member.Member;
import org.fescueloom.placement.BrokenGuarantee;
import org.fescueloom.placement.GuaranteeChecker;
import org.fescueloom.placement.WorkerView;
import org.fescueloom.report.AcceleratorReport;
import org.fescueloom.report.AcceleratorUse;
import org.fescueloom.report.WorkerSummary;
import org.fescueloom.wire.WorkerCapacity;

/** Provides the operator routes with information on gang jobs, workers and guarantees. */
public final class JobOperatorHooks implements OperatorHooks {
    private final JobSystem jobs;

    /**
     * Creates the hooks.
     *
     * @param jobs the gang job services of this process, not null
     */
    public JobOperatorHooks(JobSystem jobs) {
        this.jobs = Objects.requireNonNull(jobs, "jobs");
    }

    @Override
    public List<ConfigurationFault> checkGuarantees(ConfigurationDocument document) {
        List<WorkerView> workers = jobs.workerViews(document);
        return GuaranteeChecker.check(document, workers).stream()
                .map(brokenGuarantee -> toFault(document, brokenGuarantee))
                .toList();
    }

    @Override
    public List<String> brokenGuarantees(ConfigurationDocument document) {
        List<WorkerView> workers = jobs.workerViews(document);
        return GuaranteeChecker.findBroken(document.customers(), workers).stream()
                .map(JobOperatorHooks::describe)
                .toList();
    }

    @Override
    public Optional<String> plannerId() {
        return jobs.plannerId();
    }

    @Override
    public Map<String, Integer> jobCounts() {
        return jobs.jobCounts();
    }

    @Override
    public Optional<WorkerSummary> workerSummary(Member worker, long ageMillis) {
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
                        jobs.workerCondition(worker).text(),
                        capacity.cpus(),
                        capacity.memoryMb(),
                        acceleratorReports(worker.id(), capacity.accelerators()),
                        ageMillis));
    }

    /**
     * Creates the fault with the path of the shape in the document; the path is {@code customers}
     * if the shape is not found there.
     */
    private static ConfigurationFault toFault(
            ConfigurationDocument document, BrokenGuarantee brokenGuarantee) {
        for (int i = 0; i < document.customers().size(); i++) {
            CustomerPolicy customer = document.customers().get(i);
            int shapeIndex = customer.guaranteedShapes().indexOf(brokenGuarantee.shape());
            if (customer.name().equals(brokenGuarantee.customer()) && shapeIndex >= 0) {
                return new ConfigurationFault(
                        "customers[" + i + "].guaranteedShapes[" + shapeIndex + "]",
                        describe(brokenGuarantee),
                        "shapes that can be laid out on the workers together with all others");
            }
        }
        return new ConfigurationFault(
                "customers",
                describe(brokenGuarantee),
                "shapes that can be laid out on the workers together with all others");
    }

    private static String describe(BrokenGuarantee brokenGuarantee) {
        return "customer %s: %d of %d blocks of %d accelerators, adjacency %s, cannot be laid out"
                .formatted(
                        brokenGuarantee.customer(),
                        brokenGuarantee.missingBlocks(),
                        brokenGuarantee.shape().blocks(),
                        brokenGuarantee.shape().accelerators(),
                        brokenGuarantee.shape().adjacency().text());
    }

    /** Reports each accelerator of a worker as free, or with the job that holds it. */
    private List<AcceleratorReport> acceleratorReports(String workerId, int count) {
        Map<Integer, AcceleratorReport> usedByIndex = new HashMap<>();
        for (GangPlaced gang : jobs.ledger().openGangs()) {
            Optional<Job> job = jobs.ledger().job(gang.job());
            String customer = job.map(found -> found.spec().customer()).orElse(null);
            AcceleratorUse use =
                    gang.claims().isEmpty() ? AcceleratorUse.BORROWED : AcceleratorUse.GUARANTEED;
            for (GangMember member : gang.members()) {
                if (member.worker().equals(workerId)) {
                    member.accelerators()
                            .forEach(
                                    index ->
                                            usedByIndex.put(
                                                    index,
                                                    new AcceleratorReport(
                                                            index, use, customer, gang.job())));
                }
            }
        }
        List<AcceleratorReport> reports = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            AcceleratorReport freeReport =
                    new AcceleratorReport(index, AcceleratorUse.FREE, null, null);
            reports.add(usedByIndex.getOrDefault(index, freeReport));
        }
        return reports;
    }
}
