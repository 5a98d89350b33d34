package org.fescueloom.daemon.dispatch;

/**
 * Keeps whether another incarnation than the present one may receive the next call to an upstream.
 * Its ends are numbered anew and its clock starts anew, so until an answer has told, no call may
 * acknowledge ends, name a lease or start a run.
 */
final class AnswerDoubt {
    private boolean open;
    private long number;

    /** Tests whether there is a doubt. */
    boolean open() {
        return open;
    }

    /** Returns the number of the last doubt, to be passed to {@link #settle}. */
    long number() {
        return number;
    }

    /** Raises a doubt: a poll has failed, or another incarnation was reported. */
    void raise() {
        open = true;
        number++;
    }

    /**
     * Ends the doubt if none was raised since a call that was answered.
     *
     * @param numberAtCall the number of the last doubt when the call was sent
     */
    void settle(long numberAtCall) {
        open &= numberAtCall != number;
    }

    /** Ends the doubt, because an answer has told of another incarnation. */
    void clear() {
        open = false;
    }
}
