package org.fescueloom.standins.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescueloom.json.Json;

/** Starts and ends the processes of the demonstration. */
final class DemoCluster implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration END_TIMEOUT = Duration.ofSeconds(15);
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final int SERVICE_MILLIS = 30;

    private final Installation installation;
    private final List<DemoProcess> processes = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, DemoUpstream> upstreams = new LinkedHashMap<>();
    private final Map<String, DemoWorker> workers = new LinkedHashMap<>();
    private final List<DemoProcess> daemons = new ArrayList<>();
    private final List<String> entryAddresses = new ArrayList<>();
    private String logAddress;
    private boolean closed;

    /** Describes an upstream to start; the service time is divided by the speed. */
    record UpstreamPlan(String name, String zone, double speed) {}

    /** Holds the name, the availability zone, the address and the process of an upstream. */
    record DemoUpstream(String name, String zone, String address, DemoProcess process) {}

    /** Holds the name, the availability zone and the address of a worker. */
    record DemoWorker(String name, String zone, String address) {}

    /**
     * Creates a cluster without processes.
     *
     * @param installation provides the commands that start the programs, not null
     */
    DemoCluster(Installation installation) {
        this.installation = installation;
    }

    void startLog() {
        logAddress =
                launch("log", installation.standInCommand("log", "--listen", ANY_PORT))
                        .awaitAddress(START_TIMEOUT);
    }

    void startEntry(String name, String zone) {
        entryAddresses.add(launchDaemon(settings("entry", name, zone)).awaitAddress(START_TIMEOUT));
    }

    /** Starts an agent for each upstream, then the upstreams. */
    void startUpstreams(List<UpstreamPlan> plans) {
        List<DemoProcess> agents =
                plans.stream()
                        .map(p -> launchDaemon(settings("agent", p.name() + "-agent", p.zone())))
                        .toList();
        List<DemoProcess> started = new ArrayList<>();
        for (int i = 0; i < plans.size(); i++) {
            started.add(launchUpstream(plans.get(i), agents.get(i).awaitAddress(START_TIMEOUT)));
        }
        for (int i = 0; i < plans.size(); i++) {
            UpstreamPlan plan = plans.get(i);
            DemoProcess process = started.get(i);
            String address = process.awaitAddress(START_TIMEOUT);
            upstreams.put(
                    plan.name(), new DemoUpstream(plan.name(), plan.zone(), address, process));
        }
    }

    private DemoProcess launchUpstream(UpstreamPlan plan, String agentAddress) {
        return launch(
                plan.name(),
                installation.standInCommand(
                        "upstream",
                        "--listen",
                        ANY_PORT,
                        "--upstream",
                        plan.name(),
                        "--agent",
                        agentAddress,
                        "--service-millis",
                        Integer.toString(SERVICE_MILLIS),
                        "--speed",
                        Double.toString(plan.speed())));
    }

    /** Starts the given number of workers in each availability zone, all in one rack per zone. */
    void startWorkers(Map<String, Integer> countByZone) {
        Map<DemoProcess, String> started = new LinkedHashMap<>();
        countByZone.forEach(
                (zone, count) -> {
                    for (int position = 0; position < count; position++) {
                        started.put(launchWorker(zone, position), zone);
                    }
                });
        started.forEach(
                (process, zone) ->
                        workers.put(
                                process.name(),
                                new DemoWorker(
                                        process.name(),
                                        zone,
                                        process.awaitAddress(START_TIMEOUT))));
    }

    private DemoProcess launchWorker(String zone, int position) {
        String rack = zone + "-r1";
        String name = rack + "-w" + position;
        return launch(
                name,
                installation.standInCommand(
                        "worker",
                        "--listen",
                        ANY_PORT,
                        "--worker",
                        name,
                        "--zone",
                        zone,
                        "--rack",
                        rack,
                        "--position",
                        Integer.toString(position),
                        "--entries",
                        String.join(",", entryAddresses)));
    }

    List<String> entryAddresses() {
        return List.copyOf(entryAddresses);
    }

    Map<String, DemoUpstream> upstreams() {
        return Collections.unmodifiableMap(upstreams);
    }

    Map<String, DemoWorker> workers() {
        return Collections.unmodifiableMap(workers);
    }

    int processCount() {
        return processes.size();
    }

    private Map<String, Object> settings(String role, String member, String zone) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("role", role);
        settings.put("member", member);
        settings.put("zone", zone);
        settings.put("listen", ANY_PORT);
        settings.put("entries", List.copyOf(entryAddresses));
        settings.put("logService", List.of(logAddress));
        settings.put("logLevel", "info");
        return settings;
    }

    private DemoProcess launchDaemon(Map<String, Object> settings) {
        String name = settings.get("member").toString();
        Path file = installation.runDirectory().resolve(name + ".json");
        try {
            Files.write(file, Json.write(settings));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        DemoProcess process = launch(name, installation.daemonCommand(file));
        daemons.add(process);
        return process;
    }

    private DemoProcess launch(String name, List<String> command) {
        synchronized (processes) {
            if (closed) {
                throw new DemoException("interrupted");
            }
            DemoProcess process = DemoProcess.start(name, installation.runDirectory(), command);
            processes.add(process);
            return process;
        }
    }

    /** Returns the processes of the entries and agents, entries first. */
    List<DemoProcess> daemons() {
        return List.copyOf(daemons);
    }

    /** Returns whether {@link #close} was called, for example by the shutdown hook. */
    boolean isClosed() {
        synchronized (processes) {
            return closed;
        }
    }

    /** Ends all processes in the reverse order of their starts, each by its process identifier. */
    @Override
    public void close() {
        List<DemoProcess> all;
        synchronized (processes) {
            closed = true;
            all = new ArrayList<>(processes);
            processes.clear();
        }
        Collections.reverse(all);
        all.forEach(DemoProcess::terminate);
        for (DemoProcess process : all) {
            if (!process.awaitEnd(END_TIMEOUT)) {
                System.err.printf(
                        "process %d (%s) did not exit in time and was killed%n",
                        process.pid(), process.name());
            }
        }
    }
}
