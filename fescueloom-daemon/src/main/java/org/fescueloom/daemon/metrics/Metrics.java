package org.fescueloom.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.fescueloom.failure.FailureType;

/** Counts what a process does; a counter exists for each refusal and for each retry reason. */
public final class Metrics {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .registerModule(
                            new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    private final MetricRegistry registry = new MetricRegistry();

    /** Creates the counters of all failure types, so that each is shown from the start. */
    public Metrics() {
        for (FailureType type : FailureType.values()) {
            registry.counter("refusals." + type.text());
        }
    }

    /**
     * Counts one refusal or failure.
     *
     * @param type the type, not null
     */
    public void countRefusal(FailureType type) {
        registry.counter("refusals." + type.text()).inc();
    }

    /**
     * Counts one retry.
     *
     * @param reason the type of the failure that made the retry necessary, not null
     */
    public void countRetry(FailureType reason) {
        registry.counter("retries." + reason.text()).inc();
    }

    /**
     * Counts one event of another kind.
     *
     * @param name the name of the counter, in words with dots and hyphens, not null
     */
    public void count(String name) {
        registry.counter(Objects.requireNonNull(name, "name")).inc();
    }

    /**
     * Returns the timer of a name.
     *
     * @param name the name, not null
     * @return the timer, never null
     */
    public Timer timer(String name) {
        return registry.timer(name);
    }

    /**
     * Returns the registry, for gauges and histograms.
     *
     * @return the registry, never null
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Writes all metrics as JSON.
     *
     * @return the text in UTF-8, never null
     */
    public byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(registry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("metrics have no JSON form", e);
        }
    }
}
