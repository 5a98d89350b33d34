import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Knows all jobs and runs, and judges the rules; its monitor guards all minions. */
final class World {
    /** One step of a job. */
    record Step(
            int count,
            long cpu,
            long mem,
            long gpu,
            long millis,
            boolean gang,
            boolean checkpoints,
            boolean endless,
            int maxPerServer,
            List<Integer> after) {}

    /** One job, and what its client knows of it. */
    static final class Job {
        final String id;
        final String spec;
        final List<Step> steps;
        final int occurrences;
        boolean accepted;
        boolean undecided;
        int rejections;
        long acceptedMillis = -1;
        long cancelSentMillis = -1;
        long cancelAckMillis = -1;
        String shown = "";

        Job(String id, String spec, List<Step> steps, int occurrences) {
            this.id = id;
            this.spec = spec;
            this.steps = steps;
            this.occurrences = occurrences;
        }
    }

    /** One run on a minion. */
    static final class Run {
        final Job job;
        final String task;
        final String gangKey;
        final Step step;
        final int number;
        final ChaosMinion minion;
        final String boot;
        final long startMillis;
        long workedFrom = -1;
        long savedWork;
        String checkpoint = "";
        boolean stopping;
        long stopAt;
        long endMillis = -1;
        String end = "";
        long notedMillis = -1;
        boolean late;

        Run(
                Job job,
                String task,
                String gangKey,
                Step step,
                int number,
                ChaosMinion minion,
                String boot,
                long startMillis) {
            this.job = job;
            this.task = task;
            this.gangKey = gangKey;
            this.step = step;
            this.number = number;
            this.minion = minion;
            this.boot = boot;
            this.startMillis = startMillis;
        }

        @Override
        public String toString() {
            return task + '#' + number + " on " + boot + " from " + startMillis + " to " + endMillis
                    + ' ' + end + " noted " + notedMillis + (late ? " (late order)" : "");
        }
    }

    final Record record;
    final Map<String, Job> jobs = new LinkedHashMap<>();
    final Map<String, List<Run>> runs = new HashMap<>();
    final Map<String, List<Run>> gangs = new HashMap<>();
    final TreeSet<String> broken = new TreeSet<>();

    World(Record record) {
        this.record = record;
    }

    void breaks(String rule, String what) {
        if (broken.add(rule + ' ' + what)) {
            record.say("BROKEN " + rule + ": " + what);
        }
    }

    /** Returns the step of a task; null if nobody submitted it. */
    static int[] numbers(String task) {
        String[] parts = task.split("\\.");
        return new int[] {
            Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3])
        };
    }

    synchronized void judgeStart(Run run) {
        List<Run> before = runs.computeIfAbsent(run.task, t -> new ArrayList<>());
        for (Run other : before) {
            if (other.endMillis < 0) {
                breaks("TWICE", "at the same time: " + other + " | " + run);
            } else if (other.end.equals("done") && other.notedMillis >= 0) {
                breaks("TWICE", "after a noted end: " + other + " | " + run);
            }
        }
        before.add(run);
        int[] n = numbers(run.task);
        for (int dependency : run.step.after()) {
            if (!stepDone(run.job, n[0], dependency)) {
                breaks("ORDER", run + " before step " + dependency);
            }
        }
        if (run.job.cancelAckMillis >= 0
                && !run.late
                && record.millis() - run.job.cancelAckMillis > 3_000) {
            breaks("UNASKED?", run + " cancelled at " + run.job.cancelAckMillis);
        }
        record.note("start " + run);
    }

    boolean stepDone(Job job, int occurrence, int step) {
        Step spec = job.steps.get(step);
        boolean any = false;
        for (int i = 0; i < spec.count(); i++) {
            boolean done = false;
            for (Run run : runs.getOrDefault(
                    job.id + '.' + occurrence + '.' + step + '.' + i, List.of())) {
                done |= run.end.equals("done");
            }
            any |= done;
            if (!done && !spec.gang()) {
                return false;
            }
        }
        return any;
    }

    boolean jobDone(Job job) {
        for (int k = 0; k < job.occurrences; k++) {
            for (int s = 0; s < job.steps.size(); s++) {
                if (!stepDone(job, k, s)) {
                    return false;
                }
            }
        }
        return true;
    }

    /** A run that ended done and was not noted when a later run began may be noted later. */
    synchronized void judgeNoted(Run run) {
        record.note("noted " + run);
        if (!run.end.equals("done")) {
            return;
        }
        for (Run other : runs.get(run.task)) {
            if (other != run && other.startMillis >= run.endMillis) {
                breaks("TWICE", "start after an end that is noted later: " + run + " | " + other);
            }
        }
    }
}
