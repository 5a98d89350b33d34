package org.fescueloom.cli;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Implements the command that sends one request as a caller does. */
final class RequestCommand {
    // Long names of the options
    private static final String CUSTOMER_OPTION = "customer";
    private static final String DATA_OPTION = "data";
    private static final String FILE_OPTION = "file";
    private static final String CONTENT_TYPE_OPTION = "content-type";
    private static final String REQUEST_ID_OPTION = "request-id";
    private static final String IDEMPOTENT_OPTION = "idempotent";
    private static final String DEADLINE_OPTION = "deadline-millis";

    private RequestCommand() {}

    static void addOptions(Options options) {
        addOption(options, CUSTOMER_OPTION, "NAME", "the customer; required");
        addOption(options, DATA_OPTION, "TEXT", "the body as text");
        addOption(options, FILE_OPTION, "FILE", "a file with the body; - for standard input");
        addOption(
                options,
                CONTENT_TYPE_OPTION,
                "TYPE",
                "the media type; default: application/octet-stream");
        addOption(
                options,
                REQUEST_ID_OPTION,
                "ID",
                "the identifier of the request, to be given again when it is repeated;"
                        + " default: random");
        addOption(
                options,
                DEADLINE_OPTION,
                "MILLIS",
                "a deadline shorter than the target of the class, in milliseconds");
        options.addOption(
                Option.builder()
                        .longOpt(IDEMPOTENT_OPTION)
                        .desc("the request may run more than once")
                        .build());
    }

    private static void addOption(
            Options options, String name, String argumentName, String description) {
        options.addOption(
                Option.builder()
                        .longOpt(name)
                        .hasArg()
                        .argName(argumentName)
                        .desc(description)
                        .build());
    }

    static ExitStatus send(Invocation invocation) {
        if (invocation.optionValue(CUSTOMER_OPTION) == null) {
            throw new CommandException(ExitStatus.USAGE, "--customer NAME is required");
        }
        if (invocation.optionValue(DATA_OPTION) != null
                && invocation.optionValue(FILE_OPTION) != null) {
            throw new CommandException(ExitStatus.USAGE, "--data and --file exclude each other");
        }
        String requestId =
                invocation.line().getOptionValue(REQUEST_ID_OPTION, UUID.randomUUID().toString());
        invocation.err().println("request " + requestId);
        EntryResponse response = invocation.sendOrFail(createRequest(invocation, requestId));
        invocation
                .err()
                .printf(
                        "answered by %s after %s attempts%n",
                        response.header("Served-By").orElse("-"),
                        response.header("Attempts").orElse("-"));
        invocation.out().write(response.body(), 0, response.body().length);
        invocation.out().flush();
        return ExitStatus.OK;
    }

    /**
     * Creates the request. If its response is lost, the client repeats it at another entry only if
     * it is idempotent.
     */
    private static EntryRequest createRequest(Invocation invocation, String requestId) {
        return new EntryRequest(
                        "POST",
                        List.of("v1", "classes", invocation.argument(0), "requests"),
                        Map.of(),
                        Map.of(
                                "Request-Id",
                                requestId,
                                "Customer",
                                invocation.optionValue(CUSTOMER_OPTION)),
                        readBody(invocation),
                        invocation.line().hasOption(IDEMPOTENT_OPTION))
                .withHeader(
                        "Content-Type",
                        invocation
                                .line()
                                .getOptionValue(CONTENT_TYPE_OPTION, "application/octet-stream"))
                .withHeader(
                        "Idempotent",
                        invocation.line().hasOption(IDEMPOTENT_OPTION) ? "true" : null)
                .withHeader("Deadline-Millis", invocation.wholeNumberOption(DEADLINE_OPTION));
    }

    private static byte[] readBody(Invocation invocation) {
        if (invocation.optionValue(DATA_OPTION) != null) {
            return invocation.optionValue(DATA_OPTION).getBytes(StandardCharsets.UTF_8);
        }
        return invocation.optionValue(FILE_OPTION) == null
                ? new byte[0]
                : invocation.readFile(invocation.optionValue(FILE_OPTION));
    }
}
