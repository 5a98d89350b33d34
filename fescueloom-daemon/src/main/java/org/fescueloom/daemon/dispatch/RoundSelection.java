package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the waiting steps that a scheduling round plans. Planning then grows with the number of
 * waiting jobs, not with the number of their steps and occurrences.
 *
 * <p>Of a job that does not fit whole, a quarter of its share goes to the earliest steps. The other
 * steps take turns over the rounds, so that steps which fit nowhere do not hold up the others.
 */
final class RoundSelection {
    /** The number of steps that a round considers, if the jobs are few. */
    static final int MAX_STEPS = 512;

    /** The number of steps of each job that a round considers at least. */
    static final int MIN_STEPS_PER_JOB = 4;

    /** The part of the share of a job that goes to its earliest steps. */
    private static final int EARLIEST_DIVISOR = 4;

    /** Where the turns of a job go on: the position among its steps after the earliest ones. */
    private final Map<String, Integer> nextTurns = new HashMap<>();

    private int stepsPerJob = MAX_STEPS;
    private boolean leavesOut;

    /**
     * Starts a round.
     *
     * @param stepCounts the numbers of waiting steps of all jobs, not null
     */
    void beginRound(List<Integer> stepCounts) {
        leavesOut = false;
        int large = 0;
        int left = MAX_STEPS;
        for (int count : stepCounts) {
            if (count > MIN_STEPS_PER_JOB) {
                large++;
            } else {
                left -= count;
            }
        }
        stepsPerJob = Math.max(MIN_STEPS_PER_JOB, left / Math.max(1, large));
    }

    /**
     * Returns the steps of a job that the round considers.
     *
     * @param job the identifier of the job, not null
     * @param waiting the waiting steps in the order of their occurrences and numbers, not null
     * @return the steps in the same order, except that the turns may begin at any of them; never
     *     null
     */
    List<WaitingStep> select(String job, List<WaitingStep> waiting) {
        if (waiting.size() <= stepsPerJob) {
            nextTurns.remove(job);
            return waiting;
        }
        leavesOut = true;
        int earliest = Math.max(1, stepsPerJob / EARLIEST_DIVISOR);
        List<WaitingStep> selected = new ArrayList<>(waiting.subList(0, earliest));
        int others = waiting.size() - earliest;
        int turn = nextTurns.getOrDefault(job, 0) % others;
        for (int i = 0; i < stepsPerJob - earliest; i++) {
            selected.add(waiting.get(earliest + (turn + i) % others));
        }
        nextTurns.put(job, (turn + stepsPerJob - earliest) % others);
        return selected;
    }

    /** Tests whether the round leaves out waiting steps. */
    boolean leavesOut() {
        return leavesOut;
    }

    /** Removes what was recorded for a job. */
    void forgetJob(String job) {
        nextTurns.remove(job);
    }
}
