package org.fescueloom.length;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import org.junit.jupiter.api.Test;

class CalibrationTest {
    /** Guards against shares that count an end at the wrong quantile. */
    @Test
    void countsEndsByTheirQuantile() {
        RunLengthForecast forecast = new RunLengthModel().forecast(DrawnRuns.KIND, 10_000, 0);
        Calibration calibration = Calibration.NONE;
        for (double probability : new double[] {0.2, 0.4, 0.8, 0.95}) {
            calibration = calibration.with(forecast, forecast.quantileMillis(probability));
        }

        assertThat(calibration).isEqualTo(new Calibration(4, 2, 3));
        assertThat(calibration.shareByHalf()).isEqualTo(0.5);
        assertThat(calibration.shareByNineTenths()).isEqualTo(0.75);
    }

    @Test
    void refusesMoreEndsThanWerePredicted() {
        assertThat(Calibration.NONE.shareByHalf()).isZero();
        assertThatIllegalArgumentException().isThrownBy(() -> new Calibration(1, 2, 1));
        assertThatIllegalArgumentException().isThrownBy(() -> new Calibration(1, -1, 1));
    }
}
