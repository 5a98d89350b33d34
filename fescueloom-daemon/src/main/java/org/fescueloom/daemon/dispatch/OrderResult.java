package org.fescueloom.daemon.dispatch;

/** Names the results of an order to an upstream. */
public enum OrderResult {
    /** The order was executed, by this call or an earlier one. */
    DONE,

    /** The upstream has received a higher fencing token. */
    FENCED,

    /** The run, or a later run of the same task, was stopped or has ended on the upstream. */
    SUPERSEDED,

    /** The lease had expired when the order arrived. */
    LATE,

    /** The upstream does not have enough free capacity. */
    NO_ROOM,

    /**
     * The run has no valid ticket. An advisor service of the operator issues tickets for the
     * upstreams that may run a step.
     */
    NO_TICKET,

    /** The order can never be executed. */
    INVALID,

    /** The order was not executed; it may be retried. */
    BUSY,

    /** Another incarnation of the upstream responded. */
    OTHER_BOOT
}
