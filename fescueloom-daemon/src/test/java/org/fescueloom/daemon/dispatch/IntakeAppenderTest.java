package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.fescueloom.daemon.metrics.Metrics;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IntakeAppenderTest {
    /** A probe that was sent longer ago is not shared. */
    private static final long MAX_PROBE_AGE_MILLIS = 300;

    private static final LogPartition PARTITION = IntakeRequest.partition(0);

    private final MemoryKeyedLog log = new MemoryKeyedLog();
    private final ManualScheduler loop = new ManualScheduler();
    private final IntakeAppender appender =
            new IntakeAppender(log, PARTITION, loop, loop.logServiceContact(), new Metrics());

    private void probe() {
        appender.probe(MAX_PROBE_AGE_MILLIS);
        loop.advance(0);
    }

    private void append() {
        appender.append(IntakeRequest.of(JobSamples.singleTask("j")).toRecord());
        loop.advance(0);
    }

    @Nested
    class FailingPartition {
        /**
         * Guards against a refusal that the logs do not explain: nothing was logged if a probe
         * failed before any append.
         */
        @Test
        void isNoticedByAProbe() {
            log.setSilent(PARTITION, true);
            probe();

            assertThat(appender.failing()).isTrue();
        }

        @Test
        void respondsAgainOnceAnAppendSucceeds() {
            log.setSilent(PARTITION, true);
            append();
            assertThat(appender.failing()).isTrue();
            log.setSilent(PARTITION, false);
            probe();
            assertThat(appender.failing()).isTrue();
            append();

            assertThat(appender.failing()).isFalse();
        }
    }
}
