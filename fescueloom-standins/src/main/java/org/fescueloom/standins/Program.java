package org.fescueloom.standins;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.fescueloom.json.Json;
import org.fescueloom.standins.load.LoadGenerator;
import org.fescueloom.standins.load.LoadPlan;
import org.fescueloom.standins.load.LoadResult;
import org.fescueloom.standins.load.Routing;
import org.fescueloom.standins.log.LogStandIn;
import org.fescueloom.standins.upstream.UpstreamProfile;
import org.fescueloom.standins.upstream.UpstreamStandIn;
import org.fescueloom.standins.worker.WorkerIdentity;
import org.fescueloom.standins.worker.WorkerStandIn;
import org.fescueloom.wire.WorkerCapacity;

/** Lists the programs of this module, with the options that each program accepts. */
enum Program {
    /** The stand-in for the log service. */
    LOG("retain", "appends-per-second") {
        @Override
        void start(ProgramOptions options) {
            LogStandIn log =
                    new LogStandIn(
                            options.listen(),
                            options.number("retain", DEFAULT_RETAIN),
                            options.number("appends-per-second", DEFAULT_APPENDS_PER_SECOND));
            log.start();
            printListening(log.address());
        }
    },
    /** The stand-in for a worker. */
    WORKER("worker", "zone", "rack", "position", "accelerators", "cpus", "memory-mb", "entries") {
        @Override
        void start(ProgramOptions options) {
            WorkerCapacity capacity =
                    new WorkerCapacity(
                            options.text("rack"),
                            options.number("position", 0),
                            options.number("accelerators", DEFAULT_ACCELERATORS),
                            options.number("cpus", DEFAULT_CPUS),
                            options.number("memory-mb", DEFAULT_MEMORY_MB));
            WorkerIdentity identity =
                    new WorkerIdentity(options.text("worker"), options.text("zone"), capacity);
            WorkerStandIn worker =
                    new WorkerStandIn(options.listen(), identity, options.list("entries"));
            worker.start();
            printListening(worker.address());
        }
    },
    /** The stand-in for an upstream. */
    UPSTREAM(
            "upstream",
            "slots",
            "connections",
            "service-millis",
            "spread",
            "speed",
            "seed",
            "agent",
            "records") {
        @Override
        void start(ProgramOptions options) {
            String id = options.text("upstream");
            UpstreamProfile profile =
                    new UpstreamProfile(
                            id,
                            options.number("slots", UpstreamProfile.DEFAULT_SLOTS),
                            options.number("connections", UpstreamProfile.DEFAULT_CONNECTIONS),
                            options.decimal("service-millis", DEFAULT_SERVICE_MILLIS),
                            options.decimal("spread", DEFAULT_SPREAD),
                            options.decimal("speed", 1.0),
                            options.number("seed", id.hashCode()),
                            options.textOrNull("agent"),
                            options.textOrNull("records") == null
                                    ? null
                                    : Path.of(options.text("records")));
            UpstreamStandIn upstream = new UpstreamStandIn(options.listen(), profile);
            upstream.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(upstream)));
            printListening(upstream.address());
        }
    },
    /** The load generator; ends after one run. */
    LOAD(
            "targets",
            "routing",
            "class",
            "customers",
            "count",
            "rate",
            "max-body",
            "target-millis",
            "slots",
            "seed") {
        @Override
        void start(ProgramOptions options) {
            Routing routing =
                    Routing.valueOf(
                            options.text("routing").toUpperCase(Locale.ROOT).replace('-', '_'));
            LoadPlan plan =
                    new LoadPlan(
                            options.list("targets"),
                            routing,
                            options.text("class"),
                            options.list("customers"),
                            options.number("count", DEFAULT_COUNT),
                            options.decimal("rate", 0.0),
                            options.number("max-body", 0),
                            options.number("target-millis", DEFAULT_LATENCY_LIMIT_MILLIS),
                            options.number("seed", 1));
            runLoad(plan, options.number("slots", UpstreamProfile.DEFAULT_SLOTS));
        }
    };

    private static final int DEFAULT_COUNT = 1_000;
    private static final int DEFAULT_LATENCY_LIMIT_MILLIS = 1_000;
    private static final int DEFAULT_RETAIN = 100_000;
    private static final int DEFAULT_APPENDS_PER_SECOND = 400;
    private static final int DEFAULT_ACCELERATORS = 8;
    private static final int DEFAULT_CPUS = 32;
    private static final int DEFAULT_MEMORY_MB = 131_072;
    private static final double DEFAULT_SERVICE_MILLIS = 20.0;
    private static final double DEFAULT_SPREAD = 0.5;
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(60L);

    private final String[] optionNames;

    Program(String... optionNames) {
        this.optionNames = optionNames;
    }

    /** Starts the program; a stand-in keeps running after this method has returned. */
    abstract void start(ProgramOptions options);

    /**
     * Parses the options and starts the program.
     *
     * @param arguments the options, not null
     * @throws ParseException if an option is unknown or has no value
     */
    void run(String[] arguments) throws ParseException {
        Options acceptedOptions = new Options();
        acceptedOptions.addOption(null, ProgramOptions.LISTEN, true, "address:port to listen on");
        for (String optionName : optionNames) {
            acceptedOptions.addOption(null, optionName, true, null);
        }
        CommandLine commandLine = new DefaultParser().parse(acceptedOptions, arguments);
        if (!commandLine.getArgList().isEmpty()) {
            throw new ParseException("unexpected argument: " + commandLine.getArgList().get(0));
        }
        start(new ProgramOptions(commandLine));
    }

    /**
     * Returns the program with a name.
     *
     * @param name the name in lower case, not null
     * @return the program, never null
     * @throws IllegalArgumentException if there is no such program
     */
    static Program named(String name) {
        return Arrays.stream(values())
                .filter(p -> p.programName().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "no such program: "
                                                + name
                                                + "; expected one of "
                                                + names()));
    }

    /**
     * Returns the names of all programs.
     *
     * @return the names, separated by commas, never null
     */
    static String names() {
        List<Program> programs = List.of(values());
        return programs.stream().map(Program::programName).collect(Collectors.joining(", "));
    }

    private String programName() {
        return name().toLowerCase(Locale.ROOT);
    }

    private static void printListening(String address) {
        System.out.println("listening " + address);
        System.out.flush();
    }

    private static void runLoad(LoadPlan plan, int slotsPerTarget) {
        try {
            LoadResult result = new LoadGenerator(plan, slotsPerTarget).run();
            System.out.println(new String(Json.write(result), StandardCharsets.UTF_8));
            System.out.println(LoadResult.tableHead());
            System.out.println(result.tableLine(plan.routing().name()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void drain(UpstreamStandIn upstream) {
        try {
            upstream.leave(DRAIN_LIMIT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
