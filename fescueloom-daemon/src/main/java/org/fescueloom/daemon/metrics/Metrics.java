package org.fescueloom.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.fescueloom.failure.FailureType;

/** Holds the counters, timers and other metrics of a process. */
public final class Metrics {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .registerModule(
                            new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Creates the failure counters of all failure types, so that each is shown before its first
     * use.
     */
    public Metrics() {
        for (FailureType type : FailureType.values()) {
            registry.counter("refusals." + type.text());
        }
    }

    /**
     * Counts one failure in the counter "refusals." plus the type.
     *
     * @param type the type of the failure, not null
     */
    public void countRefusal(FailureType type) {
        registry.counter("refusals." + type.text()).inc();
    }

    /**
     * Counts one retry in the counter "retries." plus the reason.
     *
     * @param reason the type of the failure that caused the retry, not null
     */
    public void countRetry(FailureType reason) {
        registry.counter("retries." + reason.text()).inc();
    }

    /**
     * Adds 1 to a counter.
     *
     * @param name the name of the counter, as words joined by dots and hyphens, not null
     */
    public void count(String name) {
        registry.counter(Objects.requireNonNull(name, "name")).inc();
    }

    /**
     * Returns the timer with a name; creates it at the first call.
     *
     * @param name the name of the timer, not null
     * @return the timer, never null
     */
    public Timer timer(String name) {
        return registry.timer(name);
    }

    /**
     * Returns the registry of all metrics, for gauges and histograms.
     *
     * @return the registry, never null
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Writes all metrics as JSON.
     *
     * @return the JSON text in UTF-8, never null
     */
    public byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(registry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("metrics cannot be written as JSON", e);
        }
    }
}
