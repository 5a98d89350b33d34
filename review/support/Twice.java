import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks rule TWICE on the runs that the minions have begun. */
final class Twice {
    private Twice() {}

    /** Returns a line for each pair of runs of one task that breaks the rule. */
    static List<String> violations(List<Minion.Run> runs, long now) {
        Map<String, List<Minion.Run>> byTask = new HashMap<>();
        synchronized (runs) {
            runs.forEach(r -> byTask.computeIfAbsent(r.task, t -> new ArrayList<>()).add(r));
        }
        List<String> found = new ArrayList<>();
        for (List<Minion.Run> list : byTask.values()) {
            for (int i = 0; i < list.size(); i++) {
                for (int j = i + 1; j < list.size(); j++) {
                    Minion.Run a = list.get(i);
                    Minion.Run b = list.get(j);
                    long aEnd = a.ended < 0 ? now : a.ended;
                    long bEnd = b.ended < 0 ? now : b.ended;
                    long overlap = Math.min(aEnd, bEnd) - Math.max(a.began, b.began);
                    if (overlap > 0) {
                        found.add("at the same time for " + overlap + " ms: " + a + "; " + b);
                    } else if (a.how.equals("done") && b.began >= a.ended && a.noted) {
                        found.add("after its end was taken note of: " + a + "; " + b);
                    }
                }
            }
        }
        return found;
    }
}
