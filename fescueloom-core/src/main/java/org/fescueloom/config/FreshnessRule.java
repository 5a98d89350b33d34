package org.fescueloom.config;

import java.util.Locale;

/** Decides whether a view of the availability zones is recent enough to start work on. */
public enum FreshnessRule {
    /** Work starts only on a view that the log has confirmed within the limit. */
    STRICT {
        @Override
        public boolean isFresh(ConfigurationView view, long nowMillis, long limitMillis) {
            return view.ageMillis(nowMillis) <= limitMillis;
        }
    },
    /**
     * Work starts also while every known entry has said within the limit that it cannot reach the
     * log: then no entry can have taken a zone out.
     */
    OUTAGE_EXCEPTION {
        @Override
        public boolean isFresh(ConfigurationView view, long nowMillis, long limitMillis) {
            return STRICT.isFresh(view, nowMillis, limitMillis)
                    || view.outageAgeMillis(nowMillis) <= limitMillis;
        }
    };

    /**
     * Tells whether work may start on a view.
     *
     * @param view the view, not null
     * @param nowMillis the time now
     * @param limitMillis the greatest age of a proof
     * @return true if the view is recent enough
     */
    public abstract boolean isFresh(ConfigurationView view, long nowMillis, long limitMillis);

    /**
     * Returns the name in lower case with hyphens, as it stands in settings and metrics.
     *
     * @return the text, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
