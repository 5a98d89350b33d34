package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.Test;

/** Tests when a run that saves no checkpoint is stopped. */
class NoProgressTest {
    private static final long ESTIMATE_MILLIS = 30_000;

    private DispatcherBed bed;
    private FakeAgent agent;

    /** Starts a run, and returns the dispatcher once the run is listed without a checkpoint. */
    private Dispatcher startRun(long checkpointIntervalMillis) {
        bed =
                new DispatcherBed(
                        1,
                        new DispatchTimings(7_000, 6_000, 1_800, 60_000, checkpointIntervalMillis));
        agent = new FakeAgent("a", bed.loop());
        Dispatcher dispatcher = bed.claim();
        agent.exchange(dispatcher);
        WorkSpec work = JobSamples.job("j", 1, ESTIMATE_MILLIS, false, true).work();
        long now = bed.loop().logServiceContact().now().wallClockMillis();
        bed.submit(dispatcher, new Submission("j", "queue", "customer", "service", now, work));
        agent.exchange(dispatcher);
        assertThat(agent.running).hasSize(1);
        return dispatcher;
    }

    private boolean isStoppedAfter(Dispatcher dispatcher, int exchanges) {
        for (int i = 0; i < exchanges; i++) {
            agent.exchange(dispatcher);
        }
        return bed.metrics().registry().counter("tasks.stopped.no-progress").getCount() > 0;
    }

    // Guards against runs that are stopped although they work: away from its data a run takes three
    // times as long, which is 6 s for a checkpoint interval of 2 s.
    @Test
    void allowsFourIntervalsBetweenCheckpoints() {
        Dispatcher dispatcher = startRun(2_000);

        assertThat(isStoppedAfter(dispatcher, 6)).isFalse();
        assertThat(isStoppedAfter(dispatcher, 3)).isTrue();
    }

    @Test
    void stopsARunOfAShortIntervalAsSoonAsBefore() {
        Dispatcher dispatcher = startRun(1_000);

        assertThat(isStoppedAfter(dispatcher, 3)).isFalse();
        assertThat(isStoppedAfter(dispatcher, 2)).isTrue();
    }
}
