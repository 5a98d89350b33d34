package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.fescueloom.work.RunEnd;
import org.fescueloom.work.Submission;
import org.fescueloom.work.WorkSpec;
import org.junit.jupiter.api.Test;

/** Tests long jobs whose estimates are too low, and whose runs are interrupted. */
class LowEstimateTest {
    private static final long ESTIMATE_MILLIS = 1_000;

    private final DispatcherBed bed = new DispatcherBed();
    private final FakeAgent agent = new FakeAgent("a", bed.loop());

    private Submission acceptedNow(String id) {
        WorkSpec work = JobSamples.job(id, 1, ESTIMATE_MILLIS, false, true).work();
        long now = bed.loop().logServiceContact().now().wallClockMillis();
        return new Submission(id, "queue", "customer", "service", now, work);
    }

    private void exchangeFor(Dispatcher dispatcher, long millis) {
        long end = bed.loop().nowMillis() + millis;
        while (bed.loop().nowMillis() < end) {
            String checkpoint = "c" + bed.loop().nowMillis();
            agent.running.replaceAll(r -> new RunStatus(r.task(), r.run(), checkpoint, 100, 0));
            agent.exchange(dispatcher);
        }
    }

    // Guards against the third report of too little served of glaze-batch: by its estimate, a job
    // that had worked for 15 s was hopeless once its run was cut off, and all others went first.
    @Test
    void anInterruptedLongJobKeepsItsPlaceAmongLateJobs() {
        Dispatcher dispatcher = bed.claim();
        agent.accelerators = 1;
        agent.exchange(dispatcher);
        bed.submit(dispatcher, acceptedNow("long"));
        exchangeFor(dispatcher, 14_000);
        assertThat(agent.running).hasSize(1);
        bed.submit(dispatcher, acceptedNow("short"));
        exchangeFor(dispatcher, 6_000);
        agent.restartUpstream();

        assertThat(agent.exchange(dispatcher).starts())
                .extracting(StartOrder::task)
                .containsExactly("long.0.0.0");
    }

    // Guards against an interrupted job that counts as hopeless by the work that it has shown: a
    // new run goes on from its checkpoint, and is judged by the estimate.
    @Test
    void anInterruptedLongJobGoesBeforeALaterOneLongAfterItsObjective() {
        Dispatcher dispatcher = bed.claim();
        agent.accelerators = 1;
        agent.exchange(dispatcher);
        bed.submit(dispatcher, acceptedNow("long"));
        exchangeFor(dispatcher, 28_000);
        bed.submit(dispatcher, acceptedNow("short"));
        exchangeFor(dispatcher, 7_000);
        agent.restartUpstream();

        assertThat(agent.exchange(dispatcher).starts())
                .extracting(StartOrder::task)
                .containsExactly("long.0.0.0");
    }

    @Test
    void timeWithoutACheckpointIsNotCountedAsWork() {
        Dispatcher dispatcher = bed.claim();
        agent.accelerators = 1;
        agent.exchange(dispatcher);
        bed.submit(dispatcher, acceptedNow("standing"));
        agent.exchange(dispatcher);
        for (int i = 0; i < 11; i++) {
            agent.exchange(dispatcher);
        }
        bed.submit(dispatcher, acceptedNow("short"));
        for (int i = 0; i < 5; i++) {
            agent.exchange(dispatcher);
        }
        agent.restartUpstream();

        assertThat(agent.exchange(dispatcher).starts())
                .extracting(StartOrder::task)
                .containsExactly("short.0.0.0");
    }

    @Test
    void aJobThatHasNotRunLosesItsPlaceOnceItIsHopeless() {
        Dispatcher dispatcher = bed.claim();
        agent.accelerators = 1;
        agent.exchange(dispatcher);
        bed.submit(dispatcher, acceptedNow("first"));
        agent.exchange(dispatcher);
        bed.submit(dispatcher, acceptedNow("hopeless"));
        exchangeFor(dispatcher, 14_000);
        bed.submit(dispatcher, acceptedNow("late"));
        exchangeFor(dispatcher, 6_000);
        agent.end(RunEnd.DONE);
        agent.exchange(dispatcher);
        agent.exchange(dispatcher);

        assertThat(agent.running).extracting(RunStatus::task).containsExactly("late.0.0.0");
    }
}
