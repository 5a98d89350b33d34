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
import org.fescueloom.standins.StandInReply;
import org.fescueloom.standins.StandInRequest;
import org.fescueloom.wire.Announcement;
import org.fescueloom.wire.LeaseRenewal;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.MemberKind;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.WorkerReport;

/** Stands in for one of the platform's workers; its tasks only pretend to run. */
public final class WorkerStandIn extends StandIn {
    private static final long ANNOUNCE_MILLIS = 1_000L;
    private static final long USAGE_SAMPLE_MILLIS = 1_000L;
    private static final int USAGE_LAG_SAMPLES = 5;

    private final WorkerIdentity identity;
    private final WorkerLeases leases;
    private final MemberAnnouncer announcer;
    private final long incarnation = System.currentTimeMillis();
    private final Deque<WorkerUsage> usage = new ArrayDeque<>();

    /**
     * Creates a worker that does not listen yet.
     *
     * @param listen where it will listen, not null
     * @param identity its name and what it has, not null
     * @param entries the addresses of entries that it announces itself to first, not null
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
                .scheduleAtFixedRate(this::announce, 0L, ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS);
        server().timers()
                .scheduleAtFixedRate(
                        this::sampleUsage, 0L, USAGE_SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
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
        String task = "/v1/leases/{lease}/tasks/{task}";
        server().route("GET", "/v1/worker", immediate(r -> StandInReply.json(200, report())));
        server().route("GET", "/v1/usage", immediate(r -> StandInReply.json(200, laggedUsage())));
        server().route("POST", "/v1/leases/renew", immediate(this::renew));
        server().route("PUT", "/v1/leases/{lease}", immediate(this::grant));
        server().route("DELETE", "/v1/leases/{lease}", immediate(this::release));
        server().route("PUT", task, immediate(this::startTask));
        server().route(
                        "POST",
                        task + "/checkpoint",
                        immediate(r -> leases.checkpoint(lease(r), task(r))));
        server().route("POST", task + "/stop", immediate(r -> leases.stop(lease(r), task(r))));
        server().route("POST", task + "/throttle", immediate(this::throttle));
    }

    private static String lease(StandInRequest request) {
        return request.pathParameter("lease");
    }

    private static String task(StandInRequest request) {
        return request.pathParameter("task");
    }

    private StandInReply grant(StandInRequest request) {
        return leases.grant(lease(request), request.json(LeaseRequest.class));
    }

    private StandInReply renew(StandInRequest request) {
        return StandInReply.json(200, leases.renew(request.json(LeaseRenewal.class)));
    }

    private StandInReply release(StandInRequest request) {
        return leases.release(lease(request), request.number("token", -1L));
    }

    private StandInReply throttle(StandInRequest request) {
        int percent = (int) request.number("percent", 100L);
        return leases.throttle(lease(request), task(request), percent);
    }

    private StandInReply startTask(StandInRequest request) {
        WorkerLeases.TaskStart how = WorkerLeases.TaskStart.REGULAR;
        if (server().faults().meet(FaultKind.LOSE_START, request.path()).isPresent()) {
            how = WorkerLeases.TaskStart.LOST;
        } else if (server().faults().meet(FaultKind.FAIL_TASKS, request.path()).isPresent()) {
            how = WorkerLeases.TaskStart.FAILING;
        }
        return leases.start(lease(request), task(request), request.json(TaskRequest.class), how);
    }

    private WorkerReport report() {
        return new WorkerReport(identity.id(), incarnation, leases.highestToken(), leases.report());
    }

    private synchronized void sampleUsage() {
        usage.addLast(leases.usage());
        if (usage.size() > USAGE_LAG_SAMPLES) {
            usage.removeFirst();
        }
    }

    private synchronized WorkerUsage laggedUsage() {
        return usage.isEmpty() ? leases.usage() : usage.getFirst();
    }

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
