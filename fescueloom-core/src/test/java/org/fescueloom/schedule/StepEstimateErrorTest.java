package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StepEstimateErrorTest {
    @Test
    void learnsTheErrorThatAllTasksOfAStepShare() {
        StepEstimateError pace = new StepEstimateError();
        assertThat(pace.factor()).isEqualTo(1.0);
        for (int i = 0; i < 6; i++) {
            new UpstreamHealth().recordSuccess(2.5, pace, false, 0);
        }

        assertThat(pace.factor()).isBetween(2.0, 2.6);
    }
}
