package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.fescueloom.config.Adjacency;

/**
 * Numbers the workers of a cluster and groups them into topology domains by worker, rack and
 * availability zone.
 */
final class Topology {
    /** The index that stands for an unknown worker. */
    static final int UNKNOWN_WORKER = -1;

    private final List<WorkerView> workers;
    private final Map<String, Integer> indexes = new HashMap<>();
    private final Map<Adjacency, List<TopologyDomain>> domains = new EnumMap<>(Adjacency.class);

    /** The index of the topology domain of each worker, by the ordinal of the adjacency. */
    private final int[][] domainIndexByWorker = new int[Adjacency.values().length][];

    /**
     * Creates the topology of the given workers.
     *
     * @param workers the workers, not null
     */
    Topology(List<WorkerView> workers) {
        this.workers = workers;
        for (int i = 0; i < workers.size(); i++) {
            indexes.put(workers.get(i).worker(), i);
        }
        addDomains(Adjacency.WORKER, WorkerView::worker);
        addDomains(Adjacency.RACK, w -> w.zone() + "/" + w.rack());
        addDomains(Adjacency.ZONE, WorkerView::zone);
        addDomains(Adjacency.NONE, w -> "cluster");
    }

    private void addDomains(Adjacency adjacency, Function<WorkerView, String> key) {
        Map<String, List<Integer>> groups = new LinkedHashMap<>();
        for (int i = 0; i < workers.size(); i++) {
            groups.computeIfAbsent(key.apply(workers.get(i)), k -> new ArrayList<>()).add(i);
        }
        List<TopologyDomain> domainList = new ArrayList<>();
        int[] domainIndexes = new int[workers.size()];
        groups.forEach(
                (name, members) -> {
                    members.forEach(w -> domainIndexes[w] = domainList.size());
                    domainList.add(
                            new TopologyDomain(name, members.stream().mapToInt(w -> w).toArray()));
                });
        domains.put(adjacency, domainList);
        domainIndexByWorker[adjacency.ordinal()] = domainIndexes;
    }

    int size() {
        return workers.size();
    }

    WorkerView worker(int index) {
        return workers.get(index);
    }

    /** Returns the index of a worker; {@link #UNKNOWN_WORKER} if no worker has this identifier. */
    int indexOf(String worker) {
        return indexes.getOrDefault(worker, UNKNOWN_WORKER);
    }

    /** Returns the topology domains of an adjacency. */
    List<TopologyDomain> domains(Adjacency adjacency) {
        return domains.get(adjacency);
    }

    /** Returns the index in {@link #domains} of the topology domain that contains a worker. */
    int domainIndexOf(Adjacency adjacency, int workerIndex) {
        return domainIndexByWorker[adjacency.ordinal()][workerIndex];
    }
}
