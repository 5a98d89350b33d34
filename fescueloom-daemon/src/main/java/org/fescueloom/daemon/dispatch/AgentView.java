package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
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

/** Holds what the dispatcher knows of one agent and of the upstream beside it. */
final class AgentView {
    /** A look waits for up to a second; one this old means that the upstream does not answer. */
    private static final long MAX_LOOK_AGE_MILLIS = 2_500;

    private final String name;
    private final Map<String, AssignedRun> runs = new LinkedHashMap<>();
    private final UpstreamHealth health = new UpstreamHealth();
    private AgentReport report;
    private long lastReportMillis = Long.MIN_VALUE / 2;
    private long leaseGrantedMillis;
    private long acknowledgedEnd;
    private long storedEnds;
    private String boot = "";
    private CompletableFuture<AgentOrders> waiting;
    private long parkedSinceMillis;

    /**
     * Creates the view of an agent that has not reported.
     *
     * @param name the name of the agent
     * @param leaseGrantedMillis when the last lease may have been granted to it, on the steady
     *     clock
     */
    AgentView(String name, long grantedMillis) {
        this.name = name;
        this.leaseGrantedMillis = grantedMillis;
    }

    String name() {
        return name;
    }

    /** Returns the runs that may exist on the upstream, by task. */
    Map<String, AssignedRun> runs() {
        return runs;
    }

    /** Returns what the ends of runs tell of the upstream. */
    UpstreamHealth health() {
        return health;
    }

    AgentReport report() {
        return report;
    }

    UpstreamNotice notice() {
        return report == null ? null : report.notice();
    }

    /** Returns the life of the upstream that was reported last; empty before the first report. */
    String boot() {
        return boot;
    }

    long lastReportMillis() {
        return lastReportMillis;
    }

    long leaseGrantedMillis() {
        return leaseGrantedMillis;
    }

    long acknowledgedEnd() {
        return acknowledgedEnd;
    }

    /** Takes a report; tells whether it is newer than what is known. */
    boolean accept(AgentReport newer, long nowMillis) {
        boolean stale =
                report != null
                        && report.process().equals(newer.process())
                        && report.sequence() >= newer.sequence();
        if (stale) {
            return false;
        }
        lastReportMillis = nowMillis;
        report = newer;
        UpstreamNotice notice = newer.notice();
        if (notice != null && !notice.boot().equals(boot)) {
            boot = notice.boot();
            acknowledgedEnd = 0;
            storedEnds = 0;
        }
        return true;
    }

    /** Notes that a lease is granted now. */
    void markLeaseGranted(long nowMillis) {
        leaseGrantedMillis = nowMillis;
    }

    /** Tells whether an end was taken in before, and takes it in. */
    boolean recordEnd(long number) {
        if (number <= storedEnds) {
            return false;
        }
        storedEnds = number;
        return true;
    }

    /** Returns the number of the last end that was taken in. */
    long lastRecordedEnd() {
        return storedEnds;
    }

    /** Notes that all ends up to a number are stored. */
    void acknowledge(String endsBoot, long number) {
        if (endsBoot.equals(boot)) {
            acknowledgedEnd = Math.max(acknowledgedEnd, number);
        }
    }

    /** Returns what the upstream has in all. */
    Resources capacity() {
        return notice() == null ? Resources.NONE : notice().capacity();
    }

    /** Returns what all runs that may exist take. */
    Resources usedResources() {
        return roomOf(run -> true);
    }

    /** Returns what the runs take that are told to stop. */
    Resources stoppingResources() {
        return roomOf(AssignedRun::stopRequested);
    }

    private Resources roomOf(Predicate<AssignedRun> which) {
        Resources sum = Resources.NONE;
        for (AssignedRun run : runs.values()) {
            if (which.test(run)) {
                sum = sum.plus(run.resources());
            }
        }
        return sum;
    }

    /** Tells whether the agent has reached its upstream lately, so that a lease can be renewed. */
    boolean upstreamReachable() {
        return notice() != null && report.looked() && report.lookAgeMillis() < MAX_LOOK_AGE_MILLIS;
    }

    /** Tells whether the upstream takes tasks as far as the agent has said. */
    boolean upstreamReady() {
        return upstreamReachable() && notice().state() == UpstreamState.READY;
    }

    /** Tells whether tasks may start on the upstream, given the zones that are out. */
    boolean startAllowed(Set<String> zonesOut) {
        return upstreamReady() && !zonesOut.contains(notice().zone());
    }

    /** Parks a report until there is something to tell; answers the one that was parked before. */
    void park(CompletableFuture<AgentOrders> reply, long nowMillis) {
        waiting = reply;
        parkedSinceMillis = nowMillis;
    }

    /** Takes the parked report, or null. */
    CompletableFuture<AgentOrders> unpark() {
        CompletableFuture<AgentOrders> parked = waiting;
        waiting = null;
        return parked;
    }

    boolean parked() {
        return waiting != null;
    }

    long parkedSinceMillis() {
        return parkedSinceMillis;
    }

    /** Returns the runs of another life of the upstream than the one that was reported. */
    List<AssignedRun> runsOfOtherBoots() {
        List<AssignedRun> found = new ArrayList<>();
        for (AssignedRun run : runs.values()) {
            if (!run.boot().equals(boot)) {
                found.add(run);
            }
        }
        return found;
    }
}
