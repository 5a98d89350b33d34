package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.schedule.UpstreamHealth;
import org.fescueloom.work.Resources;

/** Holds the state that the dispatcher tracks for one agent and its upstream. */
final class AgentView {
    /**
     * An upstream with this many runs gets no more single tasks. A report lists all runs, and the
     * servers of the system accept bodies of up to 1 MiB.
     */
    static final int MAX_RUNS = 4_096;

    /**
     * The maximum age of the last successful poll. A poll waits for up to a second, so a greater
     * age means that the upstream does not respond.
     */
    private static final long MAX_POLL_AGE_MILLIS = 2_500;

    /**
     * Covers a restart of the agent, and several times the interval of status reports, of which the
     * next one is newer again.
     */
    private static final long MAX_NOTICE_AGE_MILLIS = 10_000;

    private final String name;
    private final Map<String, AssignedRun> runs = new LinkedHashMap<>();
    private final UpstreamHealth health = new UpstreamHealth();
    private final Set<String> earlierProcesses = new HashSet<>();

    /** The unconfirmed process that has reported last; empty if the present one has since. */
    private String unconfirmedProcess = "";

    private AgentReport report;

    /** The last notice that holds; null before the first. */
    private UpstreamNotice newestNotice;

    private String newestNoticeProcess = "";
    private long newestNoticeMillis;

    /** Before the first report: half of the minimum, so that time differences do not overflow. */
    private long lastReportMillis = Long.MIN_VALUE / 2;

    private long leaseGrantedMillis;
    private boolean leaseGranted;

    /** The process to which this dispatcher has replied; empty before the first reply. */
    private String answeredProcess = "";

    private long acknowledgedEndNumber;
    private long lastRecordedEndNumber;
    private String boot = "";
    private CompletableFuture<AgentOrders> parkedReply;
    private long parkedSinceMillis;

    /**
     * Creates the view of an agent that has not reported.
     *
     * @param name the name of the agent
     * @param leaseGrantedMillis the latest time at which a lease may have been granted to the
     *     agent, on the monotonic clock
     */
    AgentView(String name, long leaseGrantedMillis) {
        this.name = name;
        this.leaseGrantedMillis = leaseGrantedMillis;
    }

    String name() {
        return name;
    }

    /** Returns the runs that may exist on the upstream, by task identifier. */
    Map<String, AssignedRun> runs() {
        return runs;
    }

    /** Returns the speed and reliability of the upstream, as estimated from its runs. */
    UpstreamHealth health() {
        return health;
    }

    AgentReport report() {
        return report;
    }

    UpstreamNotice notice() {
        return report == null ? null : report.notice();
    }

    /** Returns the boot ID in the last notice of the upstream; empty before the first notice. */
    String boot() {
        return boot;
    }

    /** Returns when the last report was accepted, on the monotonic clock. */
    long lastReportMillis() {
        return lastReportMillis;
    }

    /**
     * Returns the latest time at which a lease may have been granted to the agent, on the monotonic
     * clock.
     */
    long leaseGrantedMillis() {
        return leaseGrantedMillis;
    }

    /** Returns the number up to which all ends of runs are stored; 0 if none. */
    long acknowledgedEndNumber() {
        return acknowledgedEndNumber;
    }

    /** Tests whether a report comes from a process of the agent that a later one has replaced. */
    boolean fromEarlierProcess(AgentReport newReport) {
        return earlierProcesses.contains(newReport.process());
    }

    /**
     * Returns whether a report of another process than the present one may be a late report of an
     * earlier process, and records its process. A process lives if it has received orders of this
     * epoch and no other process has reported since its last report.
     */
    boolean recordUnconfirmedProcess(AgentReport newReport, long epoch) {
        if (report == null) {
            return false;
        }
        if (report.process().equals(newReport.process())) {
            unconfirmedProcess = "";
            return false;
        }
        boolean confirmed =
                newReport.epoch() >= epoch && newReport.process().equals(unconfirmedProcess);
        unconfirmedProcess = newReport.process();
        return !confirmed;
    }

    /**
     * Accepts a report unless the same agent process has already sent it or a newer one, or a later
     * process has replaced the sender, and returns whether the report was accepted.
     */
    boolean accept(AgentReport newReport, long nowMillis) {
        boolean sameProcess = report != null && report.process().equals(newReport.process());
        boolean repeated = sameProcess && report.sequence() >= newReport.sequence();
        if (repeated || fromEarlierProcess(newReport)) {
            return false;
        }
        if (report != null && !sameProcess) {
            earlierProcesses.add(report.process());
        }
        lastReportMillis = nowMillis;
        report = withNewestNotice(newReport, nowMillis);
        UpstreamNotice notice = report.notice();
        if (notice != null && !notice.boot().equals(boot)) {
            boot = notice.boot();
            // Each incarnation of the upstream numbers the ends of its runs anew.
            acknowledgedEndNumber = 0;
            lastRecordedEndNumber = 0;
        }
        return true;
    }

    /**
     * Returns a report with the newest notice that another process of the agent has reported of the
     * same incarnation, instead of an older one, which the present process may have received late.
     * The newest one holds for a limited time, as its sequence number may be false.
     */
    private AgentReport withNewestNotice(AgentReport newReport, long nowMillis) {
        UpstreamNotice notice = newReport.notice();
        if (notice == null) {
            return newReport;
        }
        boolean older =
                newestNotice != null
                        && !newReport.process().equals(newestNoticeProcess)
                        && notice.boot().equals(newestNotice.boot())
                        && notice.sequence() < newestNotice.sequence()
                        && notice.state() != UpstreamState.GONE
                        && newestNotice.state() != UpstreamState.GONE
                        && nowMillis - newestNoticeMillis < MAX_NOTICE_AGE_MILLIS;
        if (older) {
            return newReport.withNotice(newestNotice);
        }
        newestNotice = notice;
        newestNoticeProcess = newReport.process();
        newestNoticeMillis = nowMillis;
        return newReport;
    }

    /**
     * Records that a lease is granted now. A new process of the agent may still accept a lease of
     * the dispatcher before, so a later time holds.
     */
    void markLeaseGranted(long nowMillis) {
        leaseGrantedMillis = Math.max(leaseGrantedMillis, nowMillis);
        leaseGranted = true;
    }

    /** Records that a reply is sent to the process of the last report. */
    void markAnswered() {
        answeredProcess = report.process();
    }

    /**
     * Tests whether the next step waits for a reply: until an agent process has received the epoch,
     * it may not poll its upstream, and its reports end no runs; and runs that were active before a
     * takeover need the first lease.
     */
    boolean needsReplyAtOnce(long epoch) {
        boolean needsEpoch =
                report.epoch() < epoch
                        && !answeredProcess.equals(report.process())
                        && (!report.looked() || hasRunsThatEnded());
        boolean needsLease = !leaseGranted && upstreamReachable() && !report.running().isEmpty();
        return needsEpoch || needsLease;
    }

    /** Tests whether the last report says that runs have ended together with their upstream. */
    private boolean hasRunsThatEnded() {
        boolean gone = notice() != null && notice().state() == UpstreamState.GONE;
        return gone && !runs.isEmpty() || !runsOfOtherBoots().isEmpty();
    }

    /** Records the number of the end of a run, and returns whether this end is new. */
    boolean recordEndNumber(long number) {
        if (number <= lastRecordedEndNumber) {
            return false;
        }
        lastRecordedEndNumber = number;
        return true;
    }

    /** Returns the number of the last recorded end of a run. */
    long lastRecordedEndNumber() {
        return lastRecordedEndNumber;
    }

    /**
     * Records that all ends of runs up to a number are stored. Has no effect if the upstream has
     * restarted since.
     */
    void acknowledge(String bootOfEnds, long number) {
        if (bootOfEnds.equals(boot)) {
            acknowledgedEndNumber = Math.max(acknowledgedEndNumber, number);
        }
    }

    /** Returns the total capacity of the upstream; none before the first notice. */
    Resources capacity() {
        return notice() == null ? Resources.NONE : notice().capacity();
    }

    /** Returns the resources of all runs that may exist on the upstream. */
    Resources usedResources() {
        return resourcesOf(run -> true);
    }

    /** Tests whether the upstream has as many runs as a report can carry. */
    boolean fullOfRuns() {
        return runs.size() >= MAX_RUNS;
    }

    /** Returns the resources of the runs whose stop is requested. */
    Resources stoppingResources() {
        return resourcesOf(AssignedRun::stopRequested);
    }

    /** Returns the capacity that is free once all runs but the endless ones have ended. */
    Resources attainableCapacity() {
        return capacity().minus(resourcesOf(AssignedRun::endless));
    }

    private Resources resourcesOf(Predicate<AssignedRun> condition) {
        Resources sum = Resources.NONE;
        for (AssignedRun run : runs.values()) {
            if (condition.test(run)) {
                sum = sum.plus(run.resources());
            }
        }
        return sum;
    }

    /**
     * Tests whether the agent has reported what it saw of its upstream since the upstream began.
     */
    boolean heard() {
        return notice() != null && report.looked();
    }

    /** Tests whether the agent has recently polled its upstream, so that a lease can be granted. */
    boolean upstreamReachable() {
        return notice() != null
                && notice().state() != UpstreamState.GONE
                && report.looked()
                && report.lookAgeMillis() < MAX_POLL_AGE_MILLIS;
    }

    /** Tests whether the upstream is reachable and takes tasks, according to the last report. */
    boolean upstreamReady() {
        return upstreamReachable() && notice().state() == UpstreamState.READY;
    }

    /**
     * Tests whether tasks may start on the upstream: it is ready, and its zone is not out of
     * service.
     */
    boolean startAllowed(Set<String> zonesOut) {
        return upstreamReady() && !zonesOut.contains(notice().zone());
    }

    /**
     * Parks the reply to a report. A reply that is already parked must have been removed with
     * {@link #unpark}.
     */
    void park(CompletableFuture<AgentOrders> reply, long nowMillis) {
        parkedReply = reply;
        parkedSinceMillis = nowMillis;
    }

    /** Removes and returns the parked reply; returns null if there is none. */
    CompletableFuture<AgentOrders> unpark() {
        CompletableFuture<AgentOrders> reply = parkedReply;
        parkedReply = null;
        return reply;
    }

    boolean parked() {
        return parkedReply != null;
    }

    long parkedSinceMillis() {
        return parkedSinceMillis;
    }

    /** Returns the runs of other incarnations of the upstream than the reported one. */
    List<AssignedRun> runsOfOtherBoots() {
        List<AssignedRun> otherRuns = new ArrayList<>();
        for (AssignedRun run : runs.values()) {
            if (!run.boot().equals(boot)) {
                otherRuns.add(run);
            }
        }
        return otherRuns;
    }
}
