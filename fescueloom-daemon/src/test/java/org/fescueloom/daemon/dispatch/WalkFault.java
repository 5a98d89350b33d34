package org.fescueloom.daemon.dispatch;

/**
 * Describes what happens to one call in an {@link UpstreamWalk}.
 *
 * @param kind what happens
 * @param millis how much later the message arrives, in milliseconds; unused if it is lost
 */
record WalkFault(Kind kind, long millis) {
    static final WalkFault NONE = new WalkFault(Kind.NONE, 0);

    enum Kind {
        NONE,

        /** The call is not executed, and the caller waits until its timeout. */
        REQUEST_LOST,

        /** The call is executed, and the caller waits until its timeout. */
        RESPONSE_LOST,

        /** The call is executed late, perhaps after the timeout of the caller. */
        REQUEST_LATE,

        /** The call is executed, and the response comes late. */
        RESPONSE_LATE,

        /** The call is executed now and once more late. */
        DUPLICATED
    }
}
