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

/** Measures one planning round; 510 workers have 730 accelerators. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
public class PlanningRoundBenchmark {
    private static final double DESIGN_WORKERS = 510.0;

    /** How many workers there are. */
    @Param("510")
    public int workers;

    /** How many tasks run. */
    @Param("2400")
    public int tasks;

    /** How many jobs wait. */
    @Param("370")
    public int waiting;

    private PlanInput input;
    private final Planner planner = PlacementPolicy.BUDDY_COMPACTION.planner();

    /** Makes the input. */
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
