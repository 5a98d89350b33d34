package org.fescueloom.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.commons.cli.Options;

/** Names the commands of the tool. */
enum Command {
    STATUS("status", "", "show the system as one entry sees it", SystemCommands::status),
    UPSTREAMS("upstreams", "", "list the upstreams and their load", SystemCommands::upstreams),
    WORKERS(
            "workers",
            "",
            "draw racks, workers and who uses their accelerators",
            SystemCommands::workers),
    EXPLAIN(
            "explain",
            "ID",
            "tell what was decided about a request or a job, and why",
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
            "send a request and print its answer",
            RequestCommand::send,
            RequestCommand::addOptions);

    private final List<String> nameWords;
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
     * Finds the command that a list of arguments begins with.
     *
     * @param given the arguments, not null
     * @return the command, or empty if there is none
     */
    static Optional<Command> find(List<String> given) {
        return Arrays.stream(values())
                .filter(c -> given.size() >= c.nameWords.size())
                .filter(c -> given.subList(0, c.nameWords.size()).equals(c.nameWords))
                .findFirst();
    }

    /** Returns how many words name the command. */
    int nameWordCount() {
        return nameWords.size();
    }

    /** Returns the words that name the command and its arguments. */
    String usage() {
        return (String.join(" ", nameWords) + " " + argumentNames).trim();
    }

    /** Returns what the command does, in words. */
    String summary() {
        return summary;
    }

    /** Returns how many arguments the command takes. */
    int argumentCount() {
        return argumentNames.isEmpty() ? 0 : argumentNames.split(" ").length;
    }

    /** Returns all options of the command. */
    Options options() {
        Options options = GlobalOptions.create();
        extraOptionsAdder.accept(options);
        return options;
    }

    /**
     * Runs the command.
     *
     * @param invocation what it works with, not null
     * @return the status to end with, never null
     * @throws CommandException if it fails
     */
    ExitStatus run(Invocation invocation) {
        return action.apply(invocation);
    }
}
