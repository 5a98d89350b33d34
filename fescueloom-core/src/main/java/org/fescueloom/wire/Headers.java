package org.fescueloom.wire;

/** Names the HTTP headers that callers, entries, agents and upstreams use. */
public final class Headers {
    /** The identifier that a caller gives its request. */
    public static final String REQUEST_ID = "Request-Id";

    /** The customer on whose behalf a request is made. */
    public static final String CUSTOMER = "Customer";

    /** Whether a request may run more than once: "true" or "false". */
    public static final String IDEMPOTENT = "Idempotent";

    /** The time that is left until the deadline, in milliseconds. */
    public static final String DEADLINE_MILLIS = "Deadline-Millis";

    /** How many attempts a request took. */
    public static final String ATTEMPTS = "Attempts";

    /** The identifier of the upstream that gave the answer. */
    public static final String SERVED_BY = "Served-By";

    /** The identifier of one attempt at a request. */
    public static final String ATTEMPT_ID = "Attempt-Id";

    /** The class of work of a request. */
    public static final String SERVICE_CLASS = "Service-Class";

    /** The incarnation of the agent that an attempt is addressed to. */
    public static final String AGENT_INCARNATION = "Agent-Incarnation";

    /** The state of an attempt, one of {@link AttemptState}. */
    public static final String ATTEMPT_STATE = "Attempt-State";

    /** The status with which the upstream answered. */
    public static final String UPSTREAM_STATUS = "Upstream-Status";

    /** What the agent's upstream can take, as "slots;running;queued;serviceMicros". */
    public static final String AGENT_OCCUPANCY = "Agent-Occupancy";

    private Headers() {}
}
