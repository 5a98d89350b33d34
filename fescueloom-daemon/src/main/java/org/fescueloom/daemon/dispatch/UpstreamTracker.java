package org.fescueloom.daemon.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescueloom.fleet.StatusReportOrder;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;

/**
 * Tracks with which incarnation of which upstream an agent works.
 *
 * <p>Only answers of the upstream to polls decide that. Status reports and deregistrations may be
 * late, or come from another writer: a report of another incarnation makes it a candidate, which is
 * to be polled, and a deregistration is a reason to start no tasks and to poll. An incarnation has
 * ended if another one answers at its address, or if it is said to have left and no process listens
 * there.
 *
 * <p>Free of clocks, calls and threads; the caller supplies the time of a monotonic clock.
 */
final class UpstreamTracker {
    /** The maximum number of candidates; a further one replaces the one that was silent longest. */
    static final int MAX_CANDIDATES = 4;

    /** A candidate is dropped if no report of it has arrived for this time. */
    static final long CANDIDATE_LIFETIME_MILLIS = 10_000;

    /**
     * An upstream that reports later than this after its deregistration that it is ready has not
     * left. An earlier report may have been on its way.
     */
    static final long MAX_REPORT_DELAY_MILLIS = 5_000;

    /** The smallest difference between start times that fencing tokens tell apart. */
    static final long TOKEN_STEP_MILLIS = 256;

    /**
     * The maximum by which a token is raised. Covers the clock steps after which an incarnation may
     * start with an earlier start time than the one before.
     */
    private static final long MAX_TOKEN_RAISE_MILLIS = TOKEN_STEP_MILLIS << 20;

    /** What a status report changes. */
    enum ReportEffect {
        /** The report is late or contradicts newer ones. */
        IGNORED,

        /** The state of the present incarnation is as before. */
        UNCHANGED,

        /** The state of the present incarnation has changed. */
        STATE_CHANGED,

        /** The report is of another incarnation, which is to be polled. */
        CANDIDATE
    }

    /** What a deregistration changes. */
    enum DeregistrationEffect {
        /** The deregistration names no known incarnation. */
        IGNORED,

        /** A candidate leaves. */
        CANDIDATE_LEAVES,

        /** The present incarnation may have ended, or will end soon, and is to be polled. */
        PRESENT_LEAVES
    }

    /** An incarnation of an upstream and the reports about it. */
    private static final class Incarnation {
        private final StatusReportOrder reportOrder = new StatusReportOrder();
        private UpstreamNotice notice;
        private boolean deregistered;
        private long deregisteredMillis;
        private long heardMillis;

        private Incarnation(UpstreamNotice notice) {
            this.notice = notice;
        }

        private boolean accept(UpstreamNotice report, long nowMillis) {
            if (!reportOrder.accept(report, nowMillis)) {
                return false;
            }
            notice = report;
            heardMillis = nowMillis;
            if (report.state() == UpstreamState.READY
                    && nowMillis - deregisteredMillis > MAX_REPORT_DELAY_MILLIS) {
                deregistered = false;
            }
            return true;
        }

        private void deregister(long nowMillis) {
            deregistered = true;
            deregisteredMillis = nowMillis;
            notice = notice.withState(UpstreamState.LEAVING);
        }

        /** Tests whether the upstream has said that it has left by now. */
        private boolean saidToHaveLeft(long nowMillis) {
            return deregistered
                    || notice.state() == UpstreamState.DRAINING
                            && nowMillis - heardMillis >= notice.leavesInMillis();
        }
    }

    /** The candidates by boot ID; the one that reported last is the last. */
    private final Map<String, Incarnation> candidates = new LinkedHashMap<>();

    private Incarnation present;

    /** The start time in the fencing tokens for the present incarnation. */
    private long tokenStartMillis;

    /** What is added to the start time in tokens, because upstreams have refused lower ones. */
    private long tokenRaiseMillis;

    /**
     * Returns the last report of the incarnation that answered last, with state {@code GONE} once
     * it has ended; null if none has answered.
     */
    UpstreamNotice notice() {
        return present == null ? null : present.notice;
    }

    /** Tests whether an incarnation has answered and is not known to have ended. */
    boolean hasPresent() {
        return present != null && present.notice.state() != UpstreamState.GONE;
    }

    /**
     * Tests whether the present incarnation is said to have left: it was deregistered, or the time
     * has passed that it named while it drained.
     */
    boolean saidToHaveLeft(long nowMillis) {
        return hasPresent() && present.saidToHaveLeft(nowMillis);
    }

    private boolean isPresent(String boot) {
        return hasPresent() && present.notice.boot().equals(boot);
    }

    /** Takes a status report into account. */
    ReportEffect onReport(UpstreamNotice report, long nowMillis) {
        String boot = report.boot();
        if (isPresent(boot)) {
            UpstreamState stateBefore = present.notice.state();
            if (!present.accept(report, nowMillis)) {
                return ReportEffect.IGNORED;
            }
            return report.state() == stateBefore
                    ? ReportEffect.UNCHANGED
                    : ReportEffect.STATE_CHANGED;
        }
        Incarnation candidate = candidates.remove(boot);
        if (candidate == null) {
            candidate = new Incarnation(report);
        }
        boolean accepted = candidate.accept(report, nowMillis);
        candidates.put(boot, candidate);
        if (candidates.size() > MAX_CANDIDATES) {
            candidates.remove(candidates.keySet().iterator().next());
        }
        return accepted ? ReportEffect.CANDIDATE : ReportEffect.IGNORED;
    }

    /**
     * Takes a deregistration into account.
     *
     * @param bornMillis when the incarnation started that leaves; 0 if the deregistration does not
     *     tell, which stands for any incarnation with this identifier
     */
    DeregistrationEffect onDeregistration(String instance, long bornMillis, long nowMillis) {
        DeregistrationEffect effect = DeregistrationEffect.IGNORED;
        for (Incarnation candidate : candidates.values()) {
            if (matches(candidate.notice, instance, bornMillis)) {
                candidate.deregister(nowMillis);
                effect = DeregistrationEffect.CANDIDATE_LEAVES;
            }
        }
        if (hasPresent() && matches(present.notice, instance, bornMillis)) {
            present.deregister(nowMillis);
            effect = DeregistrationEffect.PRESENT_LEAVES;
        }
        return effect;
    }

    private static boolean matches(UpstreamNotice notice, String instance, long bornMillis) {
        return notice.instance().equals(instance)
                && (bornMillis == 0 || bornMillis == notice.bornMillis());
    }

    /**
     * Returns the last reports of the candidates that are to be polled under their identifiers, one
     * for each identifier. An incarnation with the identifier of the present one shows in the
     * answers to the polls of the present one.
     */
    List<UpstreamNotice> candidatesToPoll(long nowMillis) {
        candidates.values().removeIf(c -> nowMillis - c.heardMillis > CANDIDATE_LIFETIME_MILLIS);
        Map<String, UpstreamNotice> newest = new LinkedHashMap<>();
        for (Incarnation candidate : candidates.values()) {
            newest.put(candidate.notice.instance(), candidate.notice);
        }
        if (hasPresent()) {
            newest.remove(present.notice.instance());
        }
        return List.copyOf(newest.values());
    }

    /** Drops a candidate, because another upstream has answered in its place. */
    void dropCandidate(String boot) {
        candidates.remove(boot);
    }

    /**
     * Returns the start time for the fencing tokens of orders to the present incarnation. Tokens of
     * orders are raised only once a poll with the raised token was answered: the incarnation that
     * refuses may be a later one.
     */
    long tokenStartMillis() {
        return tokenStartMillis;
    }

    /** Returns the start time for the fencing tokens of polls of the present incarnation. */
    long pollTokenStartMillis() {
        return tokenStartMillis + tokenRaiseMillis;
    }

    /**
     * Returns the start time for the fencing token of a poll of a candidate. It is higher than the
     * tokens for the present incarnation, also if the candidate names an earlier start, as after a
     * clock step.
     */
    long tokenStartMillis(UpstreamNotice candidate) {
        return Math.max(tokenStartMillis + TOKEN_STEP_MILLIS, candidate.bornMillis())
                + tokenRaiseMillis;
    }

    /** Raises the fencing tokens, because an upstream has refused one. */
    void raiseToken() {
        tokenRaiseMillis =
                Math.min(MAX_TOKEN_RAISE_MILLIS, Math.max(TOKEN_STEP_MILLIS, 2 * tokenRaiseMillis));
    }

    /** Records a new epoch, in which all tokens are higher than in earlier ones. */
    void onNewEpoch() {
        tokenStartMillis = present == null ? 0 : present.notice.bornMillis();
        tokenRaiseMillis = 0;
    }

    /**
     * Records the answer to a poll of the present incarnation.
     *
     * @param bornMillis when the incarnation started that answered; 0 if the answer does not tell
     * @return whether the present incarnation answered; otherwise the one that answered replaces it
     */
    boolean onAnswer(long bornMillis) {
        if (bornMillis == 0 || bornMillis == present.notice.bornMillis()) {
            tokenStartMillis += tokenRaiseMillis;
            tokenRaiseMillis = 0;
            return true;
        }
        replacePresent(present.notice.restartedAt(bornMillis));
        return false;
    }

    /**
     * Records the answer to a poll of a candidate, which thereby becomes the present incarnation.
     *
     * @param candidate the report of the candidate when it was polled, not null
     * @param bornMillis when the incarnation started that answered; 0 if the answer does not tell
     * @return whether the candidate answered itself; {@code false} if another incarnation with its
     *     identifier did
     */
    boolean onCandidateAnswer(UpstreamNotice candidate, long bornMillis) {
        boolean answeredItself = bornMillis == 0 || bornMillis == candidate.bornMillis();
        long polledTokenStartMillis = tokenStartMillis(candidate);
        replacePresent(answeredItself ? candidate : candidate.restartedAt(bornMillis));
        if (!answeredItself) {
            tokenStartMillis =
                    Math.max(tokenStartMillis, polledTokenStartMillis + TOKEN_STEP_MILLIS);
        }
        return answeredItself;
    }

    private void replacePresent(UpstreamNotice notice) {
        tokenStartMillis = tokenStartMillis(notice);
        tokenRaiseMillis = 0;
        Incarnation known = candidates.remove(notice.boot());
        present = known == null ? new Incarnation(notice) : known;
    }

    /** Records that another upstream has answered in place of the present incarnation. */
    void onOtherUpstream() {
        endPresent();
    }

    /**
     * Records that no process listens at the address of the present incarnation.
     *
     * @return whether the incarnation has ended: it is also said to have left
     */
    boolean onConnectionRefused(long nowMillis) {
        boolean ended = saidToHaveLeft(nowMillis);
        if (ended) {
            endPresent();
        }
        return ended;
    }

    private void endPresent() {
        present.notice = present.notice.withState(UpstreamState.GONE);
    }
}
