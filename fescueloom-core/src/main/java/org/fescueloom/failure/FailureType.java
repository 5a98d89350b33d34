package org.fescueloom.failure;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Names every reason for which a request, a job or an operator's call is refused or fails.
 *
 * <p>Each type has the HTTP status that carries it and the outcome that it promises. A counter
 * exists for each type.
 */
public enum FailureType {
    /** The body or a header is not of the form that the interface asks for. */
    MALFORMED_INPUT(400, Outcome.NOT_RUN),
    /** A field has a value outside its range, or fields contradict each other. */
    INVALID_FIELD(400, Outcome.NOT_RUN),
    /** The configuration has no such class. */
    UNKNOWN_CLASS(404, Outcome.NOT_RUN),
    /** The configuration has no such customer. */
    UNKNOWN_CUSTOMER(404, Outcome.NOT_RUN),
    /** The configuration has no such availability zone. */
    UNKNOWN_ZONE(404, Outcome.NOT_RUN),
    /** No job, request or upstream of this name is known. */
    NOT_FOUND(404, Outcome.NOT_RUN),
    /** The path exists, but not with this method. */
    METHOD_NOT_ALLOWED(405, Outcome.NOT_RUN),
    /** The body is longer than the limit. */
    BODY_TOO_LARGE(413, Outcome.NOT_RUN),
    /** The same identifier was used before with another body. */
    IDENTIFIER_REUSED(409, Outcome.NOT_RUN),
    /** The version named by If-Match is no longer the current one. */
    VERSION_CONFLICT(412, Outcome.NOT_RUN),
    /** The configuration document has faults. */
    INVALID_CONFIGURATION(422, Outcome.NOT_RUN),
    /** No set of workers could ever hold the job. */
    JOB_CANNOT_RUN(422, Outcome.NOT_RUN),
    /** The customer has as much work queued as its limit allows. */
    CUSTOMER_QUEUE_FULL(429, Outcome.NOT_RUN),
    /** The process holds as much work as its limit allows. */
    OVERLOADED(503, Outcome.NOT_RUN),
    /** The request could not be answered before its deadline. */
    DEADLINE_UNREACHABLE(503, Outcome.NOT_RUN),
    /** The deadline passed before the request started. */
    DEADLINE_PASSED(503, Outcome.NOT_RUN),
    /** No upstream is ready to take the request. */
    NO_UPSTREAM(503, Outcome.NOT_RUN),
    /** All slots and queue places of the upstream are taken. */
    UPSTREAM_FULL(503, Outcome.NOT_RUN),
    /** The upstream is leaving and takes no new work. */
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
    /** Too few processes answered to record the identifier of the request. */
    CLAIM_UNAVAILABLE(503, Outcome.NOT_RUN),
    /** Retries are used up for now. */
    RETRY_BUDGET_EXHAUSTED(503, Outcome.NOT_RUN),
    /** The log service did not take the record. */
    LOG_UNAVAILABLE(503, Outcome.NOT_RUN),
    /** The log service may have taken the record; read again to learn whether. */
    LOG_UNDECIDED(504, Outcome.UNKNOWN),
    /** The process that ran the attempt is gone, and what became of the attempt is not known. */
    OUTCOME_UNKNOWN(504, Outcome.UNKNOWN),
    /** The upstream ran the request and answered with something that is not a whole answer. */
    UPSTREAM_INVALID_ANSWER(502, Outcome.RAN),
    /** The upstream ran the request and reported a failure. */
    UPSTREAM_FAILED(502, Outcome.RAN),
    /** The worker has no room for the lease, or the lease was released or has lapsed before. */
    LEASE_REFUSED(409, Outcome.NOT_RUN),
    /** A planner of a higher epoch has taken over. */
    STALE_EPOCH(412, Outcome.NOT_RUN),
    /** The worker gave no answer; the call may have taken effect. */
    WORKER_UNREACHABLE(503, Outcome.UNKNOWN),
    /** The worker's answer is not of the form that the protocol asks for. */
    WORKER_INVALID_ANSWER(502, Outcome.UNKNOWN),
    /** Not all members of a gang could be started within the bound. */
    GANG_START_INCOMPLETE(503, Outcome.NOT_RUN),
    /** The job asks for something that this version cannot do. */
    NOT_SUPPORTED(503, Outcome.NOT_RUN),
    /** Another entry dispatches jobs now, or none does. */
    NOT_DISPATCHER(503, Outcome.NOT_RUN),
    /** The process reaches neither the log service nor another entry. */
    CUT_OFF(503, Outcome.NOT_RUN),
    /** No customer holds the key of the request. */
    UNKNOWN_KEY(401, Outcome.NOT_RUN),
    /** The process has read no configuration yet. */
    NO_CONFIGURATION(503, Outcome.NOT_RUN),
    /** The configuration that is known does not allow the request, and may not be the newest. */
    CONFIGURATION_OUTDATED(503, Outcome.NOT_RUN),
    /** The process met a fault of its own before the request was started. */
    INTERNAL(500, Outcome.NOT_RUN);

    private final int status;
    private final Outcome outcome;

    FailureType(int status, Outcome outcome) {
        this.status = status;
        this.outcome = outcome;
    }

    /**
     * Returns the HTTP status that carries this failure.
     *
     * @return a status from 400 to 599
     */
    public int status() {
        return status;
    }

    /**
     * Returns what a failure of this type promises about the request.
     *
     * @return the outcome, never null
     */
    public Outcome outcome() {
        return outcome;
    }

    /**
     * Returns the name in lower case with hyphens, as it stands in JSON and in counters.
     *
     * @return the text, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
