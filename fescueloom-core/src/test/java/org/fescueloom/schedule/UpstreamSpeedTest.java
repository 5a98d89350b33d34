package org.fescueloom.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.fescueloom.json.Json;
import org.junit.jupiter.api.Test;

class UpstreamSpeedTest {
    private static final UpstreamSpeed SPEED = new UpstreamSpeed(1.5, 0.05, 1_000);

    @Test
    void differsOnlyIfSlownessOrVarianceChangesEnough() {
        assertThat(SPEED.differsFrom(new UpstreamSpeed(1.55, 0.06, 9_000))).isFalse();
        assertThat(SPEED.differsFrom(new UpstreamSpeed(1.7, 0.05, 1_000))).isTrue();
        assertThat(SPEED.differsFrom(new UpstreamSpeed(1.5, 0.12, 1_000))).isTrue();
    }

    @Test
    void survivesAJsonRoundTrip() {
        assertThat(Json.read(Json.write(SPEED), UpstreamSpeed.class)).isEqualTo(SPEED);
    }

    @Test
    void rejectsValuesThatAreNotPositive() {
        assertThatThrownBy(() -> new UpstreamSpeed(0, 1, 0))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new UpstreamSpeed(1, Double.NaN, 0))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
