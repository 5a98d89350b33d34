package org.fescueloom.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.commons.cli.Options;

/** Lists the commands of the tool, each with its arguments, its options and its implementation. */
enum Command {
    STATUS(
            "status",
            "",
            "show the state of the system as one entry sees it",
            SystemCommands::status),
    UPSTREAMS("upstreams", "", "list the upstreams and their load", SystemCommands::upstreams),
    WORKERS(
            "workers",
            "",
            "draw the racks and workers, and which customers use their accelerators",
            SystemCommands::workers),
    EXPLAIN(
            "explain",
            "ID",
            "show the decisions about a request or a job and their reasons",
            SystemCommands::explain),
    CONFIG_GET(
            "config get",
            "",
            "print the configuration document; its version goes to standard error",
            ConfigCommands::printConfiguration),
    CONFIG_PUT(
            "config put",
            "FILE",
            "publish a configuration document",
            ConfigCommands::publishConfiguration,
            ConfigCommands::addPublishOptions),
    ZONE_OUT(
            "zone out",
            "ZONE",
            "take an availability zone out of service",
            ConfigCommands::takeZoneOut),
    ZONE_IN(
            "zone in",
            "ZONE",
            "bring an availability zone back into service",
            ConfigCommands::bringZoneIn),
    JOB_SUBMIT(
            "job submit",
            "JOB FILE",
            "submit a gang job under an identifier",
            JobCommands::submit,
            JobCommands::addSubmitOptions),
    JOB_SHOW("job show", "JOB", "show a job", JobCommands::show),
    JOB_LIST("job list", "", "list jobs", JobCommands::list, JobCommands::addListOptions),
    JOB_CANCEL("job cancel", "JOB", "cancel a job", JobCommands::cancel),
    REQUEST_SEND(
            "request send",
            "CLASS",
            "send a request and print the response",
            RequestCommand::send,
            RequestCommand::addOptions);

    // The name of a command has one or two words, such as "job submit".
    private final List<String> nameWords;
    // Names of the required arguments, separated by blanks
    private final String argumentNames;
    private final String summary;
    private final Function<Invocation, ExitStatus> action;
    private final Consumer<Options> extraOptionsAdder;

    Command(
            String name,
            String argumentNames,
            String summary,
            Function<Invocation, ExitStatus> action) {
        this(name, argumentNames, summary, action, options -> {});
    }

    Command(
            String name,
            String argumentNames,
            String summary,
            Function<Invocation, ExitStatus> action,
            Consumer<Options> extraOptionsAdder) {
        this.nameWords = List.of(name.split(" "));
        this.argumentNames = argumentNames;
        this.summary = summary;
        this.action = action;
        this.extraOptionsAdder = extraOptionsAdder;
    }

    /**
     * Finds the command whose name stands at the beginning of a command line.
     *
     * @param argumentsFromName the command-line arguments from the command name on, not null
     * @return the command, or empty if no command has this name
     */
    static Optional<Command> find(List<String> argumentsFromName) {
        return Arrays.stream(values())
                .filter(command -> argumentsFromName.size() >= command.nameWords.size())
                .filter(
                        command ->
                                argumentsFromName
                                        .subList(0, command.nameWords.size())
                                        .equals(command.nameWords))
                .findFirst();
    }

    /** Returns the number of words in the name of the command. */
    int nameWordCount() {
        return nameWords.size();
    }

    /** Returns the name of the command followed by the names of its arguments. */
    String usage() {
        return (String.join(" ", nameWords) + " " + argumentNames).trim();
    }

    /** Returns a description of the command for the help text. */
    String summary() {
        return summary;
    }

    /** Returns the number of arguments that the command requires. */
    int argumentCount() {
        return argumentNames.isEmpty() ? 0 : argumentNames.split(" ").length;
    }

    /** Returns the global options and the options of this command. */
    Options options() {
        Options options = GlobalOptions.create();
        extraOptionsAdder.accept(options);
        return options;
    }

    /**
     * Runs the command.
     *
     * @param invocation the parsed command line, the client and the standard streams, not null
     * @return the exit status, never null
     * @throws CommandException if the command fails
     */
    ExitStatus run(Invocation invocation) {
        return action.apply(invocation);
    }
}
