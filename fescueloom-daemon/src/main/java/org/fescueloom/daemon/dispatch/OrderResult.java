package org.fescueloom.daemon.dispatch;

/** Names how an upstream answered an order. */
public enum OrderResult {
    /** Carried out, or already there. */
    DONE,

    /** A higher token was seen. */
    FENCED,

    /** The run, or a later one, was stopped or has ended there. */
    SUPERSEDED,

    /** The lease had run out when the order came. */
    LATE,

    /** There is not enough room. */
    NO_ROOM,

    /** The ticket is not valid. */
    NO_TICKET,

    /** The order can never be carried out. */
    INVALID,

    /** Nothing was done this time; it may be tried again. */
    BUSY,

    /** Another life of the upstream answered. */
    OTHER_BOOT
}
