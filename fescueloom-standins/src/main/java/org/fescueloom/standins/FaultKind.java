package org.fescueloom.standins;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the faults that a stand-in can show. */
public enum FaultKind {
    /** Answers 503 without the effect. */
    REFUSE,
    /** Waits before the effect, for the milliseconds of the fault. */
    DELAY,
    /** Has the effect and then closes the connection without an answer. */
    LOSE_ANSWER,
    /** Closes the connection without the effect. */
    CLOSE,
    /** Takes the call, has no effect and never answers. */
    FREEZE,
    /** Log: removes all but the newest records, as many as the amount says, when it is set. */
    EXPIRE_RECORDS,
    /** Worker: every task that is started fails soon after. */
    FAIL_TASKS,
    /** Worker: answers that the task has started, but the task never runs. */
    LOSE_START,
    /** Upstream: fails at once with status 500 and counts the run. */
    FAIL_FAST,
    /** Upstream: announces the whole length, sends half of the body and closes. */
    CUT_SHORT,
    /** Upstream: sends the answer of an earlier attempt in place of its own. */
    FOREIGN_ANSWER,
    /** Upstream: sends its answer twice. */
    DOUBLE_ANSWER,
    /** Upstream: serves slower, by the factor of the fault. */
    SLOW,
    /** Upstream: runs and never answers. */
    NEVER_ANSWER,
    /** Upstream: answers with bytes that are no HTTP. */
    NONSENSE;

    /**
     * Returns the text that stands for this kind in JSON.
     *
     * @return the name in lower case with hyphens, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
