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
    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    private static final Duration END_LIMIT = Duration.ofSeconds(15);
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final int SERVICE_MILLIS = 30;

    private final Installation installation;
    private final List<DemoProcess> processes = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, DemoUpstream> upstreams = new LinkedHashMap<>();
    private final Map<String, DemoWorker> workers = new LinkedHashMap<>();
    private final List<String> entries = new ArrayList<>();
    private String logService;
    private boolean closed;

    /** Names an upstream with its availability zone, address and process. */
    record DemoUpstream(String name, String zone, String address, DemoProcess process) {}

    /** Names a worker with its availability zone and address. */
    record DemoWorker(String name, String zone, String address) {}

    /**
     * Creates a cluster without processes.
     *
     * @param installation finds the programs, not null
     */
    DemoCluster(Installation installation) {
        this.installation = installation;
    }

    void startLog() {
        logService = start("log", installation.standIn("log", "--listen", ANY_PORT)).address();
    }

    void startEntry(String name, String zone) {
        Map<String, Object> settings = settings("entry", name, zone);
        entries.add(startDaemon(name, settings).address());
    }

    /** Starts an agent and the upstream beside it. */
    void startUpstream(String name, String zone, double speed) {
        String agent =
                startDaemon(name + "-agent", settings("agent", name + "-agent", zone)).address();
        Started upstream =
                start(
                        name,
                        installation.standIn(
                                "upstream",
                                "--listen",
                                ANY_PORT,
                                "--upstream",
                                name,
                                "--agent",
                                agent,
                                "--service-millis",
                                Integer.toString(SERVICE_MILLIS),
                                "--speed",
                                Double.toString(speed)));
        upstreams.put(name, new DemoUpstream(name, zone, upstream.address(), upstream.process()));
    }

    void startWorker(String zone, String rack, int position) {
        String name = rack + "-w" + position;
        Started worker =
                start(
                        name,
                        installation.standIn(
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
                                String.join(",", entries)));
        workers.put(name, new DemoWorker(name, zone, worker.address()));
    }

    List<String> entries() {
        return List.copyOf(entries);
    }

    Map<String, DemoUpstream> upstreams() {
        return Collections.unmodifiableMap(upstreams);
    }

    Map<String, DemoWorker> workers() {
        return Collections.unmodifiableMap(workers);
    }

    int size() {
        return processes.size();
    }

    private record Started(DemoProcess process, String address) {}

    private Map<String, Object> settings(String role, String member, String zone) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("role", role);
        settings.put("member", member);
        settings.put("zone", zone);
        settings.put("listen", ANY_PORT);
        settings.put("entries", List.copyOf(entries));
        settings.put("logService", List.of(logService));
        settings.put("logLevel", "info");
        return settings;
    }

    private Started startDaemon(String name, Map<String, Object> settings) {
        Path file = installation.directory().resolve(name + ".json");
        try {
            Files.write(file, Json.write(settings));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return start(name, installation.daemon(file));
    }

    private Started start(String name, List<String> command) {
        DemoProcess process;
        synchronized (processes) {
            if (closed) {
                throw new DemoException("interrupted");
            }
            process = DemoProcess.start(name, installation.directory(), command);
            processes.add(process);
        }
        return new Started(process, process.awaitAddress(START_LIMIT));
    }

    /** Ends every process in the reverse order of the starts, each by its process id. */
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
            if (!process.awaitEnd(END_LIMIT)) {
                System.err.printf(
                        "process %d (%s) was ended by force%n", process.id(), process.name());
            }
        }
    }
}
