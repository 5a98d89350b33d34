package org.fescueloom.daemon.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.job.GangEnded;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.GangResult;
import org.fescueloom.job.JobAccepted;
import org.fescueloom.job.JobRecord;
import org.fescueloom.job.JobRecordCodec;
import org.fescueloom.job.JobsFold;
import org.fescueloom.log.LogRecord;
import org.fescueloom.placement.PlanInput;
import org.fescueloom.placement.RunTimeEstimates;
import org.junit.jupiter.api.Test;

class PlanInputBuilderTest {
    private final JobsFold fold = new JobsFold();
    private long offset;

    private void apply(JobRecord record) {
        fold.apply(new LogRecord(offset, 0, "r" + offset, JobRecordCodec.write(record)));
        offset++;
    }

    private PlanInput buildInput(Map<String, GangPlaced> startingGangs) {
        return new PlanInputBuilder(new RunTimeEstimates())
                .build(
                        fold,
                        List.of(),
                        ConfigurationDocument.EMPTY,
                        Map.of(),
                        startingGangs,
                        Set.of(),
                        1_000);
    }

    private static GangPlaced gangPlaced() {
        return new GangPlaced("j", "j.1", 1, List.of(), null, 1, 1, 0, 100);
    }

    private void applyRunThatEndsWith(GangResult result) {
        apply(new JobAccepted("j", JobTestBed.spec(1, 1, 1), 5));
        apply(gangPlaced());
        apply(new GangEnded("j", "j.1", 1, result, "why", null, 0, 700));
    }

    @Test
    void jobOfAMovedGangIsNotPlacedAgainBeforeThePauseEnds() {
        applyRunThatEndsWith(GangResult.MOVED);
        assertThat(buildInput(Map.of()).waiting().get(0).notBeforeMillis())
                .isEqualTo(700 + PlanInputBuilder.MOVE_PAUSE_MILLIS);
    }

    @Test
    void jobOfAPreemptedGangMayBePlacedAgainAtOnce() {
        applyRunThatEndsWith(GangResult.PREEMPTED);
        assertThat(buildInput(Map.of()).waiting().get(0).notBeforeMillis()).isZero();
    }

    @Test
    void gangThatIsBeingStartedCountsAsAllocated() {
        apply(new JobAccepted("j", JobTestBed.spec(1, 1, 1), 5));
        PlanInput input = buildInput(Map.of("j", gangPlaced()));
        assertThat(input.waiting()).isEmpty();
        assertThat(input.cluster().allocations()).hasSize(1);
    }
}
