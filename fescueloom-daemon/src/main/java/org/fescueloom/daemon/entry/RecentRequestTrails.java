package org.fescueloom.daemon.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Stores the trails of the most recent requests of this entry. Thread-safe. */
final class RecentRequestTrails {
    private final Map<String, RequestTrail> trails;

    /**
     * Creates an empty store of trails.
     *
     * @param capacity the maximum number of trails, positive; the oldest are removed first
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
     * Adds the trail of a request, and replaces a trail with the same request identifier.
     *
     * @param trail the trail, not null
     */
    synchronized void add(RequestTrail trail) {
        trails.put(trail.requestId(), trail);
    }

    /**
     * Checks that no stored trail has the identifier of the request and another digest.
     *
     * @param input the request, not null
     * @throws SchedulerException with type {@code IDENTIFIER_REUSED} if there is such a trail
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
     * Returns the trail of a request.
     *
     * @param requestId the identifier of the request, may be null
     * @return the trail, or empty if no trail of the request is stored
     */
    synchronized Optional<RequestTrail> find(String requestId) {
        return Optional.ofNullable(trails.get(requestId));
    }
}
