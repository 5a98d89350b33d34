package org.fescueloom.standins.demo;

import java.nio.file.Path;

/** Runs the demonstration; exits with status 0 only if all checks have passed. */
public final class DemoMain {
    private static final int EXIT_CHECK_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private DemoMain() {}

    /**
     * Runs the demonstration.
     *
     * @param arguments the root directory of the checkout, as the only argument
     */
    public static void main(String[] arguments) {
        if (arguments.length != 1) {
            System.err.println("usage: DemoMain CHECKOUT");
            System.exit(EXIT_USAGE);
        }
        Installation installation = Installation.of(Path.of(arguments[0]).toAbsolutePath());
        DemoCluster cluster = new DemoCluster(installation);
        Runtime.getRuntime().addShutdownHook(new Thread(cluster::close, "end-processes"));
        DemoOutput output = new DemoOutput(System.out);
        try (Callers callers = new Callers()) {
            new Demo(installation, cluster, callers, output).run();
        } catch (RuntimeException e) {
            if (cluster.isClosed()) {
                return;
            }
            output.recordFailure("the demonstration was aborted: " + e.getMessage());
        }
        int processCount = cluster.processCount();
        cluster.close();
        output.printSummary();
        output.print("%d processes were ended by their process identifiers", processCount);
        output.print("settings and logs are in %s", installation.runDirectory());
        System.exit(output.allChecksPassed() ? 0 : EXIT_CHECK_FAILED);
    }
}
