package org.fescueloom.daemon.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Keeps the recent requests of this entry, so that their way can be explained. */
final class RecentRequestTrails {
    private final Map<String, RequestTrail> trails;

    /**
     * Creates an empty journal.
     *
     * @param capacity how many requests are kept; the oldest go first; positive
     */
    RecentRequestTrails(int capacity) {
        trails =
                new LinkedHashMap<>() {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, RequestTrail> eldest) {
                        return size() > capacity;
                    }
                };
    }

    /**
     * Adds a request; one of the same identifier is replaced.
     *
     * @param trail the trail of the request, not null
     */
    synchronized void add(RequestTrail trail) {
        trails.put(trail.requestId(), trail);
    }

    /**
     * Checks that the identifier of a request was not used here for another request.
     *
     * @param input the request, not null
     * @throws SchedulerException with type {@code IDENTIFIER_REUSED} if it was
     */
    synchronized void requireSameDigest(RequestInput input) {
        RequestTrail earlier = trails.get(input.id());
        if (earlier != null && !earlier.digest().equals(input.digest())) {
            throw new SchedulerException(
                    FailureType.IDENTIFIER_REUSED,
                    "the identifier " + input.id() + " was used for another request");
        }
    }

    /**
     * Finds a request.
     *
     * @param id the identifier, may be null
     * @return its trail, or empty if it is not kept
     */
    synchronized Optional<RequestTrail> find(String requestId) {
        return Optional.ofNullable(trails.get(requestId));
    }
}
