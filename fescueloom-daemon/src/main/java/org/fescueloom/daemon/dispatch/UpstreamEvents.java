package org.fescueloom.daemon.dispatch;

import java.util.Locale;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.fleet.UpstreamNotice;

/**
 * Logs what an agent hears of its upstream and concludes; docs/OPERATIONS.md explains the events.
 */
final class UpstreamEvents {
    private UpstreamEvents() {}

    /** Logs a new incarnation or state. */
    static void changed(UpstreamNotice notice, String bootBefore) {
        EventLog.event("upstream-changed")
                .field("boot", notice.boot())
                .field("before", bootBefore)
                .field("state", notice.state().text())
                .field("leaves-in", notice.leavesInMillis())
                .field("sequence", notice.sequence())
                .info();
    }

    /** Logs a report of another incarnation than the present one. */
    static void candidateReported(UpstreamNotice report, String presentBoot) {
        EventLog.event("candidate-reported")
                .field("boot", report.boot())
                .field("present", presentBoot)
                .field("sequence", report.sequence())
                .info();
    }

    /** Logs that the present upstream has answered in place of a candidate. */
    static void candidateRefuted(String boot, String presentBoot) {
        EventLog.event("candidate-refuted")
                .field("boot", boot)
                .field("present", presentBoot)
                .info();
    }

    /** Logs a deregistration; the age of the last answer is -1 if there is none. */
    static void deregistered(
            String instance,
            long bornMillis,
            String presentBoot,
            UpstreamTracker.DeregistrationEffect effect,
            long pollAgeMillis,
            int running) {
        EventLog.event("upstream-deregistered")
                .field("instance", instance)
                .field("born", bornMillis)
                .field("present", presentBoot)
                .field("effect", effect.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .field("polled-ago", pollAgeMillis)
                .field("running", running)
                .info();
    }

    /** Logs the end of the present incarnation. */
    static void departed(String boot, String evidence, long pollAgeMillis, int running) {
        EventLog.event("upstream-departed")
                .field("boot", boot)
                .field("evidence", evidence)
                .field("polled-ago", pollAgeMillis)
                .field("running", running)
                .info();
    }

    /** Logs the first of a series of failed polls. */
    static void silent(String boot, Throwable error) {
        EventLog.event("upstream-silent").field("boot", boot).error(error).info();
    }

    /** Logs the first answer after failed polls. */
    static void answers(String boot) {
        EventLog.event("upstream-answers").field("boot", boot).info();
    }
}
