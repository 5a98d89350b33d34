package org.fescueloom.daemon.dispatch;

import com.codahale.metrics.Gauge;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.length.RunKind;
import org.fescueloom.length.RunLengthForecast;
import org.fescueloom.length.RunLengthModel;
import org.fescueloom.length.StoredRunLengths;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;

/**
 * Learns run lengths on behalf of the dispatcher and keeps them in the job log for the next one.
 *
 * <p>If the settings say that run lengths are not learned, there are never forecasts and nothing is
 * stored. Confined to the event loop of the dispatcher.
 */
final class RunLengthLearner {
    /** The minimum time between two records of the run lengths. */
    private static final long STORE_INTERVAL_MILLIS = 5_000;

    private static final double MEDIAN = 0.5;

    private final DispatchState state;
    private final RunLengthModel model;
    private boolean changed;
    private long storedMillis;

    /**
     * Creates a learner.
     *
     * @param state the state that the parts of the dispatcher share, not null
     * @param stored what the dispatcher before has stored, not null
     */
    RunLengthLearner(DispatchState state, Optional<StoredRunLengths> stored) {
        this.state = Objects.requireNonNull(state, "state");
        this.model = stored.map(this::restore).orElseGet(RunLengthModel::new);
        this.storedMillis = state.startedMillis();
        showIn(state.metrics());
    }

    private RunLengthModel restore(StoredRunLengths stored) {
        try {
            RunLengthModel restored =
                    RunLengthModel.restore(
                            stored, state.wallClockMillis(), state.monotonicMillis());
            EventLog.event("run-lengths-restored")
                    .field("kinds", restored.kinds())
                    .field("epoch", state.epoch())
                    .info();
            return restored;
        } catch (RuntimeException e) {
            // Without stored lengths the dispatcher decides by the estimates of callers.
            EventLog.event("run-lengths-refused").field("epoch", state.epoch()).error(e).warn();
            return new RunLengthModel();
        }
    }

    /** Replaces the gauges of the earlier dispatchers of this process. */
    private void showIn(Metrics metrics) {
        showGauge(metrics, "run-lengths.kinds", model::kinds);
        showGauge(metrics, "run-lengths.merges", model::merges);
        showGauge(metrics, "run-lengths.predicted", () -> model.calibration().predictedEnds());
        showGauge(metrics, "run-lengths.by-half", () -> model.calibration().shareByHalf());
        showGauge(
                metrics,
                "run-lengths.by-nine-tenths",
                () -> model.calibration().shareByNineTenths());
    }

    private static void showGauge(Metrics metrics, String name, Gauge<?> gauge) {
        metrics.registry().remove(name);
        metrics.registry().gauge(name, () -> gauge);
    }

    /**
     * Learns from a run that ended with success. One member stands for all members of a gang.
     *
     * @param lengthMillis the length of the run on an average upstream, not negative
     */
    void recordEnd(Submission submission, StepSpec spec, double lengthMillis) {
        if (state.timings().learnsRunLengths()) {
            model.recordEnd(
                    kind(submission, spec),
                    spec.estimateMillis(),
                    lengthMillis,
                    state.monotonicMillis());
            changed = true;
        }
    }

    /**
     * Learns from a run that was interrupted, which would have taken longer.
     *
     * @param workedMillis how long the run worked, as time on an average upstream, not negative
     */
    void recordUnfinished(Submission submission, StepSpec spec, double workedMillis) {
        if (state.timings().learnsRunLengths()) {
            model.recordUnfinished(
                    kind(submission, spec),
                    spec.estimateMillis(),
                    workedMillis,
                    state.monotonicMillis());
            changed = true;
        }
    }

    /** Returns the forecast for a run of a step; empty while there is too little evidence. */
    Optional<RunLengthForecast> forecast(Submission submission, StepSpec spec) {
        if (!state.timings().learnsRunLengths() || spec.endless()) {
            return Optional.empty();
        }
        return Optional.of(
                        model.forecast(
                                kind(submission, spec),
                                spec.estimateMillis(),
                                state.monotonicMillis()))
                .filter(forecast -> forecast.evidence() >= RunLengthModel.MIN_EVIDENCE);
    }

    /**
     * Returns the expected length of a run on an average upstream, in milliseconds: the median of
     * the forecast, or the estimate of the caller while there is too little evidence.
     */
    long expectedMillis(Submission submission, StepSpec spec) {
        return forecast(submission, spec)
                .map(forecast -> (long) forecast.quantileMillis(MEDIAN))
                .orElse(spec.estimateMillis());
    }

    /** Queues what was learned for storage if the last record is old enough. */
    void storeIfDue(long now) {
        if (changed && now - storedMillis >= STORE_INTERVAL_MILLIS) {
            changed = false;
            storedMillis = now;
            state.writer()
                    .put(
                            JobStore.RUN_LENGTHS_KEY,
                            () ->
                                    JobStore.encode(
                                            model.store(
                                                    state.wallClockMillis(),
                                                    state.monotonicMillis())));
        }
    }

    private static RunKind kind(Submission submission, StepSpec spec) {
        return new RunKind(
                submission.queue(),
                spec.image(),
                submission.customer(),
                Math.max(0, spec.need().cpuMillis()),
                Math.max(0, spec.need().accelerators()),
                spec.gang());
    }
}
