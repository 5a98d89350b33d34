package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StepEstimateErrorTest {
    @Test
    void learnsTheErrorCommonToAllTasksOfAStep() {
        StepEstimateError estimateError = new StepEstimateError();
        assertThat(estimateError.factor()).isEqualTo(1.0);
        for (int i = 0; i < 6; i++) {
            new UpstreamHealth().recordSuccess(2.5, estimateError, false, 0);
        }

        assertThat(estimateError.factor()).isBetween(2.0, 2.6);
    }
}
