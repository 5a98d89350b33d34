package org.fescueloom.wire;

/** Defines the names of the HTTP headers that callers, entries, agents and upstreams use. */
public final class Headers {
    /** The identifier that the caller chose for its request. */
    public static final String REQUEST_ID = "Request-Id";

    /** The customer for whom a request is made. */
    public static final String CUSTOMER = "Customer";

    /** Whether a request may run more than once: "true" or "false". */
    public static final String IDEMPOTENT = "Idempotent";

    /** The time remaining until the deadline, in milliseconds. */
    public static final String DEADLINE_MILLIS = "Deadline-Millis";

    /** The number of attempts that a request took. */
    public static final String ATTEMPTS = "Attempts";

    /** The identifier of the upstream that sent the response. */
    public static final String SERVED_BY = "Served-By";

    /** The identifier of one attempt at a request. */
    public static final String ATTEMPT_ID = "Attempt-Id";

    /** The service class of a request. */
    public static final String SERVICE_CLASS = "Service-Class";

    /** The incarnation of the agent to which an attempt is addressed. */
    public static final String AGENT_INCARNATION = "Agent-Incarnation";

    /** The state of an attempt, one of {@link AttemptState}. */
    public static final String ATTEMPT_STATE = "Attempt-State";

    /** The HTTP status of the upstream's response. */
    public static final String UPSTREAM_STATUS = "Upstream-Status";

    /** The occupancy of the agent's upstream, as "slots;running;queued;serviceMicros". */
    public static final String AGENT_OCCUPANCY = "Agent-Occupancy";

    private Headers() {}
}
