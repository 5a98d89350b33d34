package org.fescueloom.placement;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the duration of one planning round; 510 workers have 730 accelerators. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
public class PlanningRoundBenchmark {
    private static final double DESIGN_WORKERS = 510.0;

    /** The number of workers. */
    @Param("510")
    public int workers;

    /** The number of running tasks. */
    @Param("2400")
    public int tasks;

    /** The number of waiting jobs. */
    @Param("370")
    public int waiting;

    private PlanInput input;
    private final Planner planner = PlacementPolicy.BUDDY_COMPACTION.planner();

    /** Creates the input. */
    @Setup(Level.Trial)
    public void prepare() {
        input = LargeCluster.input(workers / DESIGN_WORKERS, tasks, waiting);
    }

    /** Plans one round. */
    @Benchmark
    public Plan round() {
        return planner.plan(input);
    }
}
