package org.fescueloom.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueloom.config.Adjacency;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ZoneState;
import org.fescueloom.failure.FailureType;
import org.fescueloom.job.JobSpec;
import org.fescueloom.json.Json;
import org.fescueloom.report.JobReport;
import org.fescueloom.report.JobsReport;
import org.fescueloom.report.PlacementReport;
import org.fescueloom.report.StatusReport;
import org.fescueloom.report.VersionReport;
import org.fescueloom.report.ZoneChangeReport;
import org.fescueloom.report.ZoneReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandLineMainTest {
    private static final JobSpec SPEC =
            new JobSpec("parks", "weave", 2, 4, Adjacency.RACK, 4, 1024, 60, true, false, "weave");

    @TempDir Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final Map<String, String> environment = new HashMap<>();
    private byte[] input = new byte[0];
    private FakeEntry entry;

    @BeforeEach
    void startEntry() throws IOException {
        entry = new FakeEntry();
    }

    @AfterEach
    void stopEntry() {
        entry.close();
    }

    private ExitStatus run(String... arguments) {
        out.reset();
        err.reset();
        return new CommandLineMain(
                        environment,
                        new ByteArrayInputStream(input),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(arguments);
    }

    private ExitStatus runWithEntry(String... arguments) {
        List<String> argumentsWithEntry = new ArrayList<>(Arrays.asList(arguments));
        argumentsWithEntry.addAll(List.of("--entry", entry.address()));
        return run(argumentsWithEntry.toArray(String[]::new));
    }

    private String outText() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String errText() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private static JobReport jobReport(String state) {
        return new JobReport(
                "j1",
                state,
                "fragmented",
                "no rack has 8 free accelerators",
                2,
                List.of(new PlacementReport("0", "w-1", List.of(0, 1, 2, 3))),
                SPEC);
    }

    private static String unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private String writeJsonFile(String name, Object value) throws IOException {
        return Files.write(directory.resolve(name), Json.write(value)).toString();
    }

    @Nested
    class Arguments {
        @Test
        void printsHelpForEachCommand() {
            assertThat(run("--help")).isEqualTo(ExitStatus.OK);
            String overview = outText();
            for (Command command : Command.values()) {
                assertThat(overview).contains(command.usage());
                List<String> words = new ArrayList<>(Arrays.asList(command.usage().split(" ")));
                words.add("--help");
                assertThat(run(words.toArray(String[]::new))).isEqualTo(ExitStatus.OK);
                assertThat(outText()).contains(command.summary()).contains("--entry");
            }
        }

        @Test
        void rejectsInvalidArguments() {
            String[][] commandLines = {
                {},
                {"dance"},
                {"status"},
                {"status", "--loud", "--entry", "127.0.0.1:1"},
                {"status", "--entry", "localhost:80"},
                {"status", "--timeout", "0", "--entry", "127.0.0.1:1"},
                {"job", "show", "--entry", "127.0.0.1:1"},
                {"job", "submit", "j1", "absent.json", "--entry", "127.0.0.1:1"},
                {"config", "put", "absent.json", "--latest", "--entry", "127.0.0.1:1"},
                {"request", "send", "weave", "--entry", "127.0.0.1:1"},
            };
            for (String[] commandLine : commandLines) {
                assertThat(run(commandLine))
                        .as(String.join(" ", commandLine))
                        .isEqualTo(ExitStatus.USAGE);
                assertThat(errText()).isNotEmpty();
            }
            assertThat(entry.requests()).isEmpty();
        }

        @Test
        void hasDistinctExitStatuses() {
            assertThat(ExitStatus.values()).extracting(ExitStatus::code).doesNotHaveDuplicates();
            for (FailureType type : FailureType.values()) {
                assertThat(ExitStatus.of(type)).isNotEqualTo(ExitStatus.OK);
            }
        }
    }

    @Nested
    class Entries {
        @Test
        void reportsThatNoEntryIsReachable() throws IOException {
            String unused = unusedAddress();
            assertThat(run("status", "--entry", unused)).isEqualTo(ExitStatus.NO_ENTRY);
            assertThat(errText()).contains(unused + " refused the connection");
        }

        @Test
        void triesTheNextEntryOfTheOptionOrTheVariable() throws IOException {
            entry.respond("GET /v1/jobs", 200, new JobsReport(List.of()));
            String unused = unusedAddress();
            assertThat(run("job", "list", "-e", unused, "-e", entry.address()))
                    .isEqualTo(ExitStatus.OK);
            environment.put("FESCUELOOM_ENTRIES", unused + "," + entry.address());
            assertThat(run("--json", "job", "list")).isEqualTo(ExitStatus.OK);
            assertThat(outText()).startsWith("{\"jobs\":[");
        }

        @Test
        void skipsAnEntryThatIsShuttingDown() throws IOException {
            try (FakeEntry shuttingDownEntry = new FakeEntry()) {
                shuttingDownEntry.respondWithFailure("GET /v1/jobs", FailureType.SHUTTING_DOWN);
                entry.respond("GET /v1/jobs", 200, new JobsReport(List.of()));
                assertThat(
                                run(
                                        "job",
                                        "list",
                                        "-e",
                                        shuttingDownEntry.address(),
                                        "-e",
                                        entry.address()))
                        .isEqualTo(ExitStatus.OK);
            }
        }

        @Test
        void repeatsARequestWithoutResponseOnlyIfItIsRepeatable() throws IOException {
            String requestLine = "POST /v1/classes/weave/requests";
            try (FakeEntry nextEntry = new FakeEntry()) {
                entry.truncateResponse(requestLine);
                nextEntry.respond(requestLine, 200, "x".getBytes(StandardCharsets.UTF_8));
                String[] arguments = {
                    "request",
                    "send",
                    "weave",
                    "--customer",
                    "parks",
                    "-e",
                    entry.address(),
                    "-e",
                    nextEntry.address()
                };
                assertThat(run(arguments)).isEqualTo(ExitStatus.UNKNOWN);
                assertThat(nextEntry.requests()).isEmpty();
                String[] idempotentArguments = Arrays.copyOf(arguments, arguments.length + 1);
                idempotentArguments[arguments.length] = "--idempotent";
                assertThat(run(idempotentArguments)).isEqualTo(ExitStatus.OK);
                assertThat(nextEntry.requests()).hasSize(1);
            }
        }

        @Test
        void reportsUnreadableResponses() {
            assertThat(runWithEntry("status")).isEqualTo(ExitStatus.INVALID_RESPONSE);
            entry.respond("GET /v1/status", 200, "<html>".getBytes(StandardCharsets.UTF_8));
            assertThat(runWithEntry("status")).isEqualTo(ExitStatus.INVALID_RESPONSE);
        }
    }

    @Nested
    class Status {
        @Test
        void showsZonesAndJobs() {
            ZoneReport zone = new ZoneReport("north-yard", "default", ZoneState.OUT, 3, 4, 32, 30);
            entry.respond(
                    "GET /v1/status",
                    200,
                    new StatusReport(
                            "entry-1",
                            "harbor-shed",
                            7,
                            1500,
                            true,
                            null,
                            List.of(zone),
                            null,
                            Map.of("running", 2)));
            assertThat(runWithEntry("status")).isEqualTo(ExitStatus.OK);
            assertThat(outText())
                    .contains("version 7, confirmed 1.5 s ago")
                    .contains("2 running")
                    .containsPattern("north-yard +default +out +3 +4 +30/32");
        }
    }

    @Nested
    class Configuration {
        @Test
        void publishesWithTheBaseVersion() throws IOException {
            entry.respond("PUT /v1/config", 200, new VersionReport(8));
            String document = writeJsonFile("config.json", ConfigurationDocument.EMPTY);
            assertThat(runWithEntry("config", "put", document, "--base", "7"))
                    .isEqualTo(ExitStatus.OK);
            assertThat(outText()).contains("published version 8");
            assertThat(entry.requests().get(0).headers().get("If-match")).containsExactly("\"7\"");
        }

        @Test
        void replacesTheCurrentVersionOnlyWithLatest() throws IOException {
            entry.respond("GET /v1/config", 200, ConfigurationDocument.EMPTY, "ETag", "\"9\"");
            entry.respond("PUT /v1/config", 200, new VersionReport(10));
            String document = writeJsonFile("config.json", ConfigurationDocument.EMPTY);
            assertThat(runWithEntry("config", "put", document)).isEqualTo(ExitStatus.USAGE);
            assertThat(runWithEntry("config", "put", document, "--latest"))
                    .isEqualTo(ExitStatus.OK);
            assertThat(entry.requests().get(1).headers().get("If-match")).containsExactly("\"9\"");
        }

        @Test
        void reportsFaultsAndTheStatusOfEachFailure() throws IOException {
            String document = writeJsonFile("config.json", ConfigurationDocument.EMPTY);
            Map<String, Object> body =
                    Map.of(
                            "error", "invalid-configuration",
                            "outcome", "not-run",
                            "detail", "1 fault",
                            "faults",
                                    List.of(
                                            Map.of(
                                                    "path", "customers[0].guaranteedShare",
                                                    "value", "2.0",
                                                    "allowed", "0 to 1")));
            entry.respond("PUT /v1/config", 422, body);
            assertThat(runWithEntry("config", "put", document, "--base", "1"))
                    .isEqualTo(ExitStatus.REFUSED);
            assertThat(errText())
                    .contains("customers[0].guaranteedShare: found 2.0; allowed: 0 to 1");
            entry.respondWithFailure("PUT /v1/config", FailureType.VERSION_CONFLICT);
            assertThat(runWithEntry("config", "put", document, "--base", "1"))
                    .isEqualTo(ExitStatus.CONFLICT);
            entry.respondWithFailure("PUT /v1/config", FailureType.LOG_UNDECIDED);
            assertThat(runWithEntry("config", "put", document, "--base", "1"))
                    .isEqualTo(ExitStatus.UNKNOWN);
        }

        @Test
        void listsMembersThatHaveNotConfirmedAZoneChange() {
            entry.respond(
                    "PUT /v1/zones/north-yard",
                    200,
                    new ZoneChangeReport(
                            "north-yard", ZoneState.OUT, 8, false, List.of("agent-3"), null));
            assertThat(runWithEntry("zone", "out", "north-yard"))
                    .isEqualTo(ExitStatus.NOT_IN_FORCE);
            assertThat(outText()).contains("version 8, not yet confirmed by:").contains("agent-3");
            assertThat(entry.requests().get(0).body())
                    .asString(StandardCharsets.UTF_8)
                    .isEqualTo("{\"state\":\"out\"}");
        }
    }

    @Nested
    class Jobs {
        @Test
        void submitsAndWaitsForTheEnd() throws IOException {
            String spec = writeJsonFile("job.json", SPEC);
            entry.respond("PUT /v1/jobs/j1", 202, jobReport("waiting"));
            entry.respond("GET /v1/jobs/j1", 200, jobReport("succeeded"));
            assertThat(runWithEntry("job", "submit", "j1", spec)).isEqualTo(ExitStatus.OK);
            assertThat(outText()).contains("fragmented: no rack has 8 free accelerators");
            assertThat(runWithEntry("job", "submit", "j1", spec, "--wait"))
                    .isEqualTo(ExitStatus.OK);
            assertThat(outText()).contains("state     succeeded").contains("on w-1");
            entry.respond("GET /v1/jobs/j1", 200, jobReport("failed"));
            assertThat(runWithEntry("job", "submit", "j1", spec, "--wait"))
                    .isEqualTo(ExitStatus.FAILED);
        }

        @Test
        void listsAndCancels() {
            entry.respond(
                    "GET /v1/jobs?customer=parks",
                    200,
                    new JobsReport(List.of(jobReport("waiting"))));
            assertThat(runWithEntry("job", "list", "--customer", "parks")).isEqualTo(ExitStatus.OK);
            assertThat(outText()).containsPattern("j1 +parks +waiting +2x4 +2 +fragmented");
            entry.respondWithFailure("DELETE /v1/jobs/j2", FailureType.NOT_FOUND);
            assertThat(runWithEntry("job", "cancel", "j2")).isEqualTo(ExitStatus.NOT_FOUND);
        }
    }

    @Nested
    class Requests {
        @Test
        void printsTheResponseBodyByteForByte() {
            byte[] responseBody = {0, 1, -1, 10, 13};
            entry.respond(
                    "POST /v1/classes/weave/requests",
                    200,
                    responseBody,
                    "Served-By",
                    "weaveplan-1");
            input = new byte[] {9, 8, 7};
            assertThat(
                            runWithEntry(
                                    "request",
                                    "send",
                                    "weave",
                                    "--customer",
                                    "parks",
                                    "--file",
                                    "-"))
                    .isEqualTo(ExitStatus.OK);
            assertThat(out.toByteArray()).isEqualTo(responseBody);
            assertThat(errText()).contains("answered by weaveplan-1");
            assertThat(entry.requests().get(0).body()).isEqualTo(input);
            assertThat(entry.requests().get(0).headers()).containsKey("Request-id");
        }

        @Test
        void reportsFailureTypeAndRetryDelay() {
            String requestLine = "POST /v1/classes/weave/requests";
            entry.respondWithFailure(requestLine, FailureType.UPSTREAM_FULL, "Retry-After", "2");
            assertThat(runWithEntry("request", "send", "weave", "--customer", "parks"))
                    .isEqualTo(ExitStatus.UNAVAILABLE);
            assertThat(errText()).contains("upstream-full (not-run)").contains("try again in 2 s");
            entry.respondWithFailure(requestLine, FailureType.UPSTREAM_FAILED);
            assertThat(runWithEntry("request", "send", "weave", "--customer", "parks"))
                    .isEqualTo(ExitStatus.FAILED);
        }
    }
}
