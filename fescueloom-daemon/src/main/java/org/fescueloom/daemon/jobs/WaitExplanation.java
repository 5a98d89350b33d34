package org.fescueloom.daemon.jobs;

import java.time.Instant;
import java.util.Objects;
import org.fescueloom.placement.ReserveGang;

/**
 * Explains why a job waits.
 *
 * @param reason the type of the reason, as text for the JSON report, not null
 * @param detail a sentence with the details, not null
 */
public record WaitExplanation(String reason, String detail) {
    /** Checks that no component is null. */
    public WaitExplanation {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Returns a copy of this explanation whose detail also names a reservation.
     *
     * @param reservation the reservation, not null
     * @return the copy, never null
     */
    public WaitExplanation withReservation(ReserveGang reservation) {
        String workers = String.join(", ", reservation.workers().stream().sorted().toList());
        Instant expectedStart = Instant.ofEpochMilli(reservation.expectedStartMillis());
        return new WaitExplanation(
                reason, detail + "; reserved from " + expectedStart + " on " + workers);
    }
}
