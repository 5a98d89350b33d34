package org.fescueloom.config;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Decides whether work may start in an availability zone. Thread-safe. */
public final class ZoneGate {
    /** The default maximum age of a view on which work may start, in milliseconds. */
    public static final long MAX_VIEW_AGE_MILLIS = 3_000L;

    private final Supplier<ConfigurationView> view;
    private final FreshnessRule rule;
    private final long maxAgeMillis;

    /**
     * Creates a gate with the default rule and the default maximum age.
     *
     * @param view returns the current view, not null
     */
    public ZoneGate(Supplier<ConfigurationView> view) {
        this(view, FreshnessRule.OUTAGE_EXCEPTION, MAX_VIEW_AGE_MILLIS);
    }

    /**
     * Creates a gate.
     *
     * @param view returns the current view, not null
     * @param rule the rule that decides whether a view is recent enough, not null
     * @param maxAgeMillis the maximum age of a view, in milliseconds, at least 0
     * @throws IllegalArgumentException if {@code maxAgeMillis} is negative
     */
    public ZoneGate(Supplier<ConfigurationView> view, FreshnessRule rule, long maxAgeMillis) {
        this.view = Objects.requireNonNull(view, "view");
        this.rule = Objects.requireNonNull(rule, "rule");
        if (maxAgeMillis < 0) {
            throw new IllegalArgumentException("maxAgeMillis is negative: " + maxAgeMillis);
        }
        this.maxAgeMillis = maxAgeMillis;
    }

    /**
     * Returns the reason why work may not start in a zone now.
     *
     * <p>A zone that the configuration does not contain is out of service.
     *
     * @param zone the name of the zone, not null
     * @param nowMillis the current time of the monotonic clock that the view uses
     * @return empty if work may start; else {@code ZONE_OUT} or {@code ZONE_VIEW_STALE}
     */
    public Optional<FailureType> refusal(String zone, long nowMillis) {
        Objects.requireNonNull(zone, "zone");
        ConfigurationView current = view.get();
        boolean in =
                current.document().zone(zone).filter(z -> z.state() == ZoneState.IN).isPresent();
        if (!rule.isFresh(current, nowMillis, maxAgeMillis)) {
            return Optional.of(FailureType.ZONE_VIEW_STALE);
        }
        return in ? Optional.empty() : Optional.of(FailureType.ZONE_OUT);
    }

    /**
     * Checks that work may start in a zone now.
     *
     * @param zone the name of the zone, not null
     * @param nowMillis the current time of the monotonic clock that the view uses
     * @throws SchedulerException with type {@code ZONE_OUT} or {@code ZONE_VIEW_STALE} if work may
     *     not start
     */
    public void check(String zone, long nowMillis) {
        Optional<FailureType> refusal = refusal(zone, nowMillis);
        if (refusal.isPresent()) {
            throw new SchedulerException(
                    refusal.get(), "no work may start in zone " + zone + " now");
        }
    }
}
