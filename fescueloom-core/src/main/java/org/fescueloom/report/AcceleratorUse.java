package org.fescueloom.report;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Defines the kinds of use of an accelerator. */
public enum AcceleratorUse {
    /** No job holds the accelerator. */
    FREE,
    /** A job holds the accelerator within its customer's guaranteed shape. */
    GUARANTEED,
    /**
     * A job holds the accelerator beyond its customer's guaranteed shape, until another customer
     * claims it.
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
