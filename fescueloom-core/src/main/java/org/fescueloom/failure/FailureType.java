package org.fescueloom.failure;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Names the types of failures of requests, jobs and calls of operators.
 *
 * <p>Each type has an HTTP status and an outcome, which tells the caller whether the request ran.
 * There is one counter for each type.
 */
public enum FailureType {
    /** The body or a header does not have the required form. */
    MALFORMED_INPUT(400, Outcome.NOT_RUN),
    /** A field has a value outside its range, or fields contradict each other. */
    INVALID_FIELD(400, Outcome.NOT_RUN),
    /** The configuration has no such class. */
    UNKNOWN_CLASS(404, Outcome.NOT_RUN),
    /** The configuration has no such customer. */
    UNKNOWN_CUSTOMER(404, Outcome.NOT_RUN),
    /** The configuration has no such availability zone. */
    UNKNOWN_ZONE(404, Outcome.NOT_RUN),
    /** No job, request or upstream with this identifier is known. */
    NOT_FOUND(404, Outcome.NOT_RUN),
    /** The path does not support this method. */
    METHOD_NOT_ALLOWED(405, Outcome.NOT_RUN),
    /** The body is longer than the limit. */
    BODY_TOO_LARGE(413, Outcome.NOT_RUN),
    /** The same identifier was used before with another body. */
    IDENTIFIER_REUSED(409, Outcome.NOT_RUN),
    /** The version in If-Match is no longer the current one. */
    VERSION_CONFLICT(412, Outcome.NOT_RUN),
    /** The configuration document has faults. */
    INVALID_CONFIGURATION(422, Outcome.NOT_RUN),
    /** The job does not fit on any set of workers, even if all workers were idle. */
    JOB_CANNOT_RUN(422, Outcome.NOT_RUN),
    /** The customer has reached its limit of queued work. */
    CUSTOMER_QUEUE_FULL(429, Outcome.NOT_RUN),
    /** The process has reached its limit of work in progress. */
    OVERLOADED(503, Outcome.NOT_RUN),
    /** The request cannot be answered before its deadline. */
    DEADLINE_UNREACHABLE(503, Outcome.NOT_RUN),
    /** The deadline passed before the request started. */
    DEADLINE_PASSED(503, Outcome.NOT_RUN),
    /** No upstream is ready to take the request. */
    NO_UPSTREAM(503, Outcome.NOT_RUN),
    /** All slots and queue places of the upstream are in use. */
    UPSTREAM_FULL(503, Outcome.NOT_RUN),
    /** The upstream is about to leave the service and takes no new work. */
    UPSTREAM_LEAVING(503, Outcome.NOT_RUN),
    /** The upstream refused the connection before the request was sent. */
    UPSTREAM_UNREACHABLE(503, Outcome.NOT_RUN),
    /** The process is shutting down and takes no new work. */
    SHUTTING_DOWN(503, Outcome.NOT_RUN),
    /** The availability zone is out of service. */
    ZONE_OUT(503, Outcome.NOT_RUN),
    /** The process cannot prove that its view of the availability zones is recent. */
    ZONE_VIEW_STALE(503, Outcome.NOT_RUN),
    /** The attempt was cancelled before it started. */
    ATTEMPT_CANCELLED(503, Outcome.NOT_RUN),
    /** The attempt is addressed to another incarnation of the process. */
    INCARNATION_MISMATCH(503, Outcome.NOT_RUN),
    /** Too few agents responded to store the claim of the request identifier. */
    CLAIM_UNAVAILABLE(503, Outcome.NOT_RUN),
    /** The retry budget is used up at present. */
    RETRY_BUDGET_EXHAUSTED(503, Outcome.NOT_RUN),
    /** The log service did not store the record. */
    LOG_UNAVAILABLE(503, Outcome.NOT_RUN),
    /** The log service will never store the record, because it is too long. */
    LOG_REFUSED(413, Outcome.NOT_RUN),
    /** The log service may have stored the record; the caller must read the log to find out. */
    LOG_UNDECIDED(504, Outcome.UNKNOWN),
    /** The process that ran the attempt is gone, and the outcome of the attempt is unknown. */
    OUTCOME_UNKNOWN(504, Outcome.UNKNOWN),
    /** The upstream ran the request, and its response is incomplete or invalid. */
    UPSTREAM_INVALID_ANSWER(502, Outcome.RAN),
    /** The upstream ran the request and reported a failure. */
    UPSTREAM_FAILED(502, Outcome.RAN),
    /**
     * The worker has no free capacity for the lease, or the lease was released or has lapsed
     * before.
     */
    LEASE_REFUSED(409, Outcome.NOT_RUN),
    /** A planner of a higher epoch has taken over. */
    STALE_EPOCH(412, Outcome.NOT_RUN),
    /** The worker did not respond; the call may have taken effect. */
    WORKER_UNREACHABLE(503, Outcome.UNKNOWN),
    /** The response of the worker does not have the form that the protocol requires. */
    WORKER_INVALID_ANSWER(502, Outcome.UNKNOWN),
    /** Not all members of a gang could be started within the time bound. */
    GANG_START_INCOMPLETE(503, Outcome.NOT_RUN),
    /** The job needs a feature that this version does not support. */
    NOT_SUPPORTED(503, Outcome.NOT_RUN),
    /** This entry is not the dispatcher: another entry is the dispatcher, or no entry is. */
    NOT_DISPATCHER(503, Outcome.NOT_RUN),
    /** The process can reach neither the log service nor another entry. */
    CUT_OFF(503, Outcome.NOT_RUN),
    /** No customer has the API key of the request. */
    UNKNOWN_KEY(401, Outcome.NOT_RUN),
    /** The process has read no configuration yet. */
    NO_CONFIGURATION(503, Outcome.NOT_RUN),
    /**
     * The configuration known to the process does not allow the request, but a newer configuration
     * may exist.
     */
    CONFIGURATION_OUTDATED(503, Outcome.NOT_RUN),
    /** An internal error occurred before the request was started. */
    INTERNAL(500, Outcome.NOT_RUN);

    private final int status;
    private final Outcome outcome;

    FailureType(int status, Outcome outcome) {
        this.status = status;
        this.outcome = outcome;
    }

    /**
     * Returns the HTTP status of responses with this failure.
     *
     * @return a status from 400 to 599
     */
    public int status() {
        return status;
    }

    /**
     * Returns the outcome of a request that failed with this type.
     *
     * @return the outcome, never null
     */
    public Outcome outcome() {
        return outcome;
    }

    /**
     * Returns the name in lower case with hyphens, as used in JSON and in the names of counters.
     *
     * @return the text, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
