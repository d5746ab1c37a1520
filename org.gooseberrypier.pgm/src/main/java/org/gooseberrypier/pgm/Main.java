package org.gooseberrypier.pgm;

import java.io.PrintStream;
import java.util.Arrays;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Parses the command line and runs one command. */
public final class Main {

    private static final Logger LOG = LoggerFactory.getLogger(Main.class);
    private static final String PROGRAM_NAME = "gooseberrypier";

    private final CommandRegistry registry;

    Main(CommandRegistry registry) {
        this.registry = registry;
    }

    /**
     * Runs the program.
     *
     * @param args the command and its options
     */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /**
     * Runs one command.
     *
     * @param args the command and its options
     * @return the exit code: 0 success, 1 failure, 2 invalid usage
     */
    public static int run(String... args) {
        return new Main(CommandRegistry.standard()).call(args);
    }

    int call(String... args) {
        if (args.length > 0 && (args[0].equals("--help") || args[0].equals("help"))) {
            printCommands(System.out, "");
            return ExitCode.OK;
        }
        return registry.find(args).map(w -> call(w, args)).orElseGet(() -> handleUnknownCommand(args));
    }

    private int call(String words, String... args) {
        Command command = registry.create(words);
        Help help = new Help();
        JCommander parser = JCommander.newBuilder()
                .programName(PROGRAM_NAME + " " + words)
                .addObject(command)
                .addObject(help)
                .build();
        try {
            parser.parse(Arrays.copyOfRange(args, words.split(" ").length, args.length));
            if (help.requested) {
                System.out.println(description(command));
                parser.usage();
                return ExitCode.OK;
            }
            return command.call();
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.err.println("See: " + PROGRAM_NAME + " " + words + " --help");
            return ExitCode.USAGE;
        } catch (RuntimeException e) {
            LOG.error("event=command_failed command=\"{}\" error=\"{}\"", words, e.toString(), e);
            return ExitCode.FAILED;
        }
    }

    private int handleUnknownCommand(String... args) {
        if (args.length > 0 && isGroup(args[0])) {
            boolean requested = args.length > 1 && args[1].equals("--help");
            printCommands(requested ? System.out : System.err, args[0] + " ");
            return requested ? ExitCode.OK : ExitCode.USAGE;
        }
        if (args.length > 0) {
            System.err.println("no such command: " + args[0]);
        }
        printCommands(System.err, "");
        return ExitCode.USAGE;
    }

    private boolean isGroup(String word) {
        for (String w : registry.words()) {
            if (w.startsWith(word + " ")) {
                return true;
            }
        }
        return false;
    }

    private void printCommands(PrintStream out, String prefix) {
        out.println("Usage: " + PROGRAM_NAME + " <command> [options]");
        for (String w : registry.words()) {
            if (w.startsWith(prefix)) {
                out.printf("  %-18s %s%n", w, description(registry.create(w)));
            }
        }
        out.println("Each command has --help. Exit codes: 0 done, 1 failed, 2 wrong usage or a malformed file.");
    }

    private static String description(Command command) {
        Parameters p = command.getClass().getAnnotation(Parameters.class);
        return p == null ? "" : p.commandDescription();
    }

    /** The option that every command has. */
    private static final class Help {
        @Parameter(names = "--help", help = true, description = "show this text")
        private boolean requested;
    }
}
