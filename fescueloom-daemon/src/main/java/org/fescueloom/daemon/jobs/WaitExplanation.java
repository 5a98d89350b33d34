package org.fescueloom.daemon.jobs;

import java.time.Instant;
import java.util.Objects;
import org.fescueloom.placement.ReserveGang;

/**
 * Says why a job waits.
 *
 * @param reason the type of the reason, not null
 * @param detail the reason in words, not null
 */
public record WaitExplanation(String reason, String detail) {
    /** Checks that no component is null. */
    public WaitExplanation {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Returns this note with a reservation.
     *
     * @param reservation the reservation, not null
     * @return the note, never null
     */
    public WaitExplanation withReservation(ReserveGang reservation) {
        String workers = String.join(", ", reservation.workers().stream().sorted().toList());
        Instant from = Instant.ofEpochMilli(reservation.expectedStartMillis());
        return new WaitExplanation(reason, detail + "; reserved from " + from + " on " + workers);
    }
}
