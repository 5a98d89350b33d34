package org.fescueloom.report;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Says how an accelerator is used. */
public enum AcceleratorUse {
    /** No job holds it. */
    FREE,
    /** A job holds it within its customer's guaranteed shape. */
    GUARANTEED,
    /**
     * A job holds it beyond its customer's guaranteed shape, until another customer reclaims it.
     */
    BORROWED;

    /**
     * Returns the text that stands for this value in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
