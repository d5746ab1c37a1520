package org.gooseberrypier.pgm;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Maps the words of the command line to commands. */
final class CommandRegistry {

    private static final int MAX_WORDS = 2;

    private final Map<String, Supplier<Command>> commands = new LinkedHashMap<>();

    /**
     * Creates a registry of all commands of the program.
     *
     * @return the registry
     */
    static CommandRegistry standard() {
        CommandRegistry registry = new CommandRegistry();
        registry.register("serve", ServeCommand::new);
        registry.register("platform serve", PlatformServeCommand::new);
        registry.register("platform check", PlatformCheckCommand::new);
        registry.register("platform rehearse", PlatformRehearseCommand::new);
        registry.register("settings check", SettingsCheckCommand::new);
        registry.register("job submit", JobSubmitCommand::new);
        registry.register("job status", JobStatusCommand::new);
        registry.register("job cancel", JobCancelCommand::new);
        registry.register("demo", DemoCommand::new);
        registry.register("bench", BenchCommand::new);
        registry.register("experiment", ExperimentCommand::new);
        registry.register("standin platform", StandinPlatformCommand::new);
        registry.register("standin endpoint", StandinEndpointCommand::new);
        registry.register("ticket publish", TicketPublishCommand::new);
        registry.register("ticket check", TicketCheckCommand::new);
        registry.register("ticket show", TicketShowCommand::new);
        registry.register("ticket history", TicketHistoryCommand::new);
        registry.register("ticket resume", TicketResumeCommand::new);
        registry.register("audit", AuditCommand::new);
        return registry;
    }

    /**
     * Adds a command.
     *
     * @param words one or two words, separated by a space
     * @param command creates the command
     */
    void register(String words, Supplier<Command> command) {
        commands.put(words, command);
    }

    /**
     * Finds the command with which the arguments begin.
     *
     * @param args the arguments
     * @return the words of the command, if there is such a command
     */
    Optional<String> find(String... args) {
        for (int n = Math.min(MAX_WORDS, args.length); n > 0; n--) {
            String words = String.join(" ", java.util.Arrays.copyOf(args, n));
            if (commands.containsKey(words)) {
                return Optional.of(words);
            }
        }
        return Optional.empty();
    }

    /**
     * Creates a command.
     *
     * @param words the words of the command
     * @return the command, with its options at their defaults
     */
    Command create(String words) {
        return commands.get(words).get();
    }

    /**
     * Returns the words of all commands.
     *
     * @return the words in the order of registration
     */
    Iterable<String> words() {
        return commands.keySet();
    }
}
