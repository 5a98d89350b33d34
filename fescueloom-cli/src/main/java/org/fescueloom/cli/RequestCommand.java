package org.fescueloom.cli;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Sends one request as a caller would. */
final class RequestCommand {
    private static final String CUSTOMER = "customer";
    private static final String DATA = "data";
    private static final String FILE = "file";
    private static final String CONTENT_TYPE = "content-type";
    private static final String REQUEST_ID = "request-id";
    private static final String IDEMPOTENT = "idempotent";
    private static final String DEADLINE = "deadline-millis";

    private RequestCommand() {}

    static void addOptions(Options options) {
        addOption(options, CUSTOMER, "NAME", "the customer; required");
        addOption(options, DATA, "TEXT", "the body as text");
        addOption(options, FILE, "FILE", "the body from a file; - for standard input");
        addOption(
                options, CONTENT_TYPE, "TYPE", "the media type; default: application/octet-stream");
        addOption(
                options,
                REQUEST_ID,
                "ID",
                "an identifier to repeat the request under; default: random");
        addOption(options, DEADLINE, "MILLIS", "shortens the target of the class, in milliseconds");
        options.addOption(
                Option.builder()
                        .longOpt(IDEMPOTENT)
                        .desc("the request may run more than once")
                        .build());
    }

    private static void addOption(
            Options options, String name, String argument, String description) {
        options.addOption(
                Option.builder()
                        .longOpt(name)
                        .hasArg()
                        .argName(argument)
                        .desc(description)
                        .build());
    }

    static ExitStatus send(Invocation call) {
        if (call.optionValue(CUSTOMER) == null) {
            throw new CommandException(ExitStatus.USAGE, "give --customer NAME");
        }
        if (call.optionValue(DATA) != null && call.optionValue(FILE) != null) {
            throw new CommandException(ExitStatus.USAGE, "give either --data or --file");
        }
        String id = call.line().getOptionValue(REQUEST_ID, UUID.randomUUID().toString());
        call.err().println("request " + id);
        EntryResponse answer = call.sendOrFail(createRequest(call, id));
        call.err()
                .printf(
                        "answered by %s after %s attempts%n",
                        answer.header("Served-By").orElse("-"),
                        answer.header("Attempts").orElse("-"));
        call.out().write(answer.body(), 0, answer.body().length);
        call.out().flush();
        return ExitStatus.OK;
    }

    /** Only an idempotent request goes to another entry when its answer was lost. */
    private static EntryRequest createRequest(Invocation call, String id) {
        return new EntryRequest(
                        "POST",
                        List.of("v1", "classes", call.argument(0), "requests"),
                        Map.of(),
                        Map.of("Request-Id", id, "Customer", call.optionValue(CUSTOMER)),
                        readBody(call),
                        call.line().hasOption(IDEMPOTENT))
                .withHeader(
                        "Content-Type",
                        call.line().getOptionValue(CONTENT_TYPE, "application/octet-stream"))
                .withHeader("Idempotent", call.line().hasOption(IDEMPOTENT) ? "true" : null)
                .withHeader("Deadline-Millis", call.wholeNumberOption(DEADLINE));
    }

    private static byte[] readBody(Invocation call) {
        if (call.optionValue(DATA) != null) {
            return call.optionValue(DATA).getBytes(StandardCharsets.UTF_8);
        }
        return call.optionValue(FILE) == null ? new byte[0] : call.readFile(call.optionValue(FILE));
    }
}
