package org.fescueloom.standins.worker;

import static org.fescueloom.standins.StandInHandler.immediate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fescueloom.standins.FaultKind;
import org.fescueloom.standins.ListenAddress;
import org.fescueloom.standins.MemberAnnouncer;
import org.fescueloom.standins.StandIn;
import org.fescueloom.standins.StandInRequest;
import org.fescueloom.standins.StandInResponse;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.LeaseRenewal;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.MemberKind;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.WorkerReport;

/** Simulates a worker of the platform; its tasks run no command. */
public final class WorkerStandIn extends StandIn {
    private static final long ANNOUNCE_INTERVAL_MILLIS = 1_000L;
    private static final long USAGE_SAMPLE_INTERVAL_MILLIS = 1_000L;

    /** The number of usage samples that are kept; the worker reports the oldest one. */
    private static final int USAGE_SAMPLES_KEPT = 5;

    private final WorkerIdentity identity;
    private final WorkerLeases leases;
    private final MemberAnnouncer announcer;
    private final long incarnation = System.currentTimeMillis();
    private final Deque<WorkerUsage> usageSamples = new ArrayDeque<>();

    /**
     * Creates a worker that does not listen yet.
     *
     * @param listen the address to listen on, not null
     * @param identity the identifier, the availability zone and the capacity, not null
     * @param entries the addresses of the entries to which the worker announces itself first; it
     *     learns of further entries from their responses; not null
     */
    public WorkerStandIn(ListenAddress listen, WorkerIdentity identity, List<String> entries) {
        super(listen);
        this.identity = identity;
        leases = new WorkerLeases(identity.capacity(), server().timers());
        announcer = new MemberAnnouncer(entries, this::announcement);
        addRoutes();
    }

    @Override
    public void start() {
        super.start();
        server().timers()
                .scheduleAtFixedRate(
                        this::announce, 0L, ANNOUNCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        server().timers()
                .scheduleAtFixedRate(
                        this::sampleUsage, 0L, USAGE_SAMPLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public List<WorkerEvent> records() {
        return leases.events();
    }

    @Override
    public void close() {
        announcer.close();
        super.close();
    }

    private void addRoutes() {
        String taskPath = "/v1/leases/{lease}/tasks/{task}";
        server().route("GET", "/v1/worker", immediate(r -> StandInResponse.json(200, report())));
        server().route(
                        "GET",
                        "/v1/usage",
                        immediate(r -> StandInResponse.json(200, laggedUsage())));
        server().route("POST", "/v1/leases/renew", immediate(this::renew));
        server().route("PUT", "/v1/leases/{lease}", immediate(this::grant));
        server().route("DELETE", "/v1/leases/{lease}", immediate(this::release));
        server().route("PUT", taskPath, immediate(this::startTask));
        server().route(
                        "POST",
                        taskPath + "/checkpoint",
                        immediate(r -> leases.checkpoint(leaseId(r), taskId(r))));
        server().route(
                        "POST",
                        taskPath + "/stop",
                        immediate(r -> leases.stop(leaseId(r), taskId(r))));
        server().route("POST", taskPath + "/throttle", immediate(this::throttle));
    }

    private static String leaseId(StandInRequest request) {
        return request.pathParameter("lease");
    }

    private static String taskId(StandInRequest request) {
        return request.pathParameter("task");
    }

    private StandInResponse grant(StandInRequest request) {
        return leases.grant(leaseId(request), request.json(LeaseRequest.class));
    }

    private StandInResponse renew(StandInRequest request) {
        return StandInResponse.json(200, leases.renew(request.json(LeaseRenewal.class)));
    }

    private StandInResponse release(StandInRequest request) {
        return leases.release(leaseId(request), request.number("token", -1L));
    }

    private StandInResponse throttle(StandInRequest request) {
        int speedPercent = (int) request.number("percent", 100L);
        return leases.throttle(leaseId(request), taskId(request), speedPercent);
    }

    private StandInResponse startTask(StandInRequest request) {
        WorkerLeases.StartMode mode = WorkerLeases.StartMode.REGULAR;
        if (server().faults().trigger(FaultKind.LOSE_START, request.path()).isPresent()) {
            mode = WorkerLeases.StartMode.LOST;
        } else if (server().faults().trigger(FaultKind.FAIL_TASKS, request.path()).isPresent()) {
            mode = WorkerLeases.StartMode.FAILING;
        }
        return leases.start(
                leaseId(request), taskId(request), request.json(TaskRequest.class), mode);
    }

    private WorkerReport report() {
        return new WorkerReport(identity.id(), incarnation, leases.highestToken(), leases.report());
    }

    private synchronized void sampleUsage() {
        usageSamples.addLast(leases.usage());
        if (usageSamples.size() > USAGE_SAMPLES_KEPT) {
            usageSamples.removeFirst();
        }
    }

    /** Returns the oldest sample that is kept, or the current usage before the first sample. */
    private synchronized WorkerUsage laggedUsage() {
        return usageSamples.isEmpty() ? leases.usage() : usageSamples.getFirst();
    }

    /** Announces this worker to the entries unless a {@code FREEZE} fault affects all its calls. */
    private void announce() {
        boolean frozen =
                server().faults().current().faults().stream()
                        .anyMatch(f -> f.kind() == FaultKind.FREEZE && f.path() == null);
        if (!frozen) {
            announcer.announce();
        }
    }

    private Announcement announcement(long configVersion) {
        return new Announcement(
                MemberKind.WORKER,
                identity.id(),
                incarnation,
                address(),
                identity.zone(),
                false,
                configVersion,
                null,
                identity.capacity());
    }
}
