package org.fescueloom.config;

import java.util.Locale;

/** Decides whether a view of the availability zones is recent enough to start work. */
public enum FreshnessRule {
    /** Allows work to start only if the log service has confirmed the view within the limit. */
    STRICT {
        @Override
        public boolean isFresh(ConfigurationView view, long nowMillis, long limitMillis) {
            return view.ageMillis(nowMillis) <= limitMillis;
        }
    },
    /**
     * Also allows work to start if every known entry has reported within the limit that it cannot
     * reach the log service, because then no entry can have taken a zone out of service.
     */
    OUTAGE_EXCEPTION {
        @Override
        public boolean isFresh(ConfigurationView view, long nowMillis, long limitMillis) {
            return STRICT.isFresh(view, nowMillis, limitMillis)
                    || view.outageAgeMillis(nowMillis) <= limitMillis;
        }
    };

    /**
     * Tests whether a view is recent enough to start work.
     *
     * @param view the view, not null
     * @param nowMillis the current time
     * @param limitMillis the maximum age of the confirmation or of the reports, in milliseconds
     * @return true if the view is recent enough
     */
    public abstract boolean isFresh(ConfigurationView view, long nowMillis, long limitMillis);

    /**
     * Returns the name of this rule in settings and metrics.
     *
     * @return the name in lower case with hyphens, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
