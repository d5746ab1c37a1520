package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.gooseberrypier.platform.PlatformSettings;
import org.gooseberrypier.platform.PlatformVm;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Runs an entry VM on the users' platform until it has stopped; SIGTERM starts a graceful stop, SIGHUP reloads the
 * settings.
 */
@Parameters(commandDescription = "Run an entry VM on the users' platform; SIGTERM stops it gracefully")
final class PlatformServeCommand implements Command {

    private static final Logger LOG = LoggerFactory.getLogger(PlatformServeCommand.class);
    private static final String SETTINGS_VARIABLE = "GOOSEBERRYPIER_CONFIG";

    @Parameter(
            names = "--settings",
            description = "the platform's settings file; by default the file that " + SETTINGS_VARIABLE + " names")
    private Path settings;

    @Override
    public int call() {
        Path file = settings != null ? settings : fromEnvironment();
        PlatformVm vm;
        try {
            vm = PlatformVm.open(PlatformSettings.read(file));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(file + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
        Signal.handle(new Signal("HUP"), signal -> reload(vm, file));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> vm.stop().join(), "graceful-stop"));
        try {
            vm.termination().join();
            return ExitCode.OK;
        } catch (CompletionException e) {
            System.err.println("the entry VM stopped after an error: " + e.getCause());
            return ExitCode.FAILED;
        }
    }

    private static void reload(PlatformVm vm, Path file) {
        try {
            vm.reload(PlatformSettings.read(file));
        } catch (IOException | IllegalArgumentException e) {
            LOG.error("event=reload_failed file={} error=\"{}\"", file, e.getMessage());
        }
    }

    private static Path fromEnvironment() {
        String path = System.getenv(SETTINGS_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ParameterException("--settings is missing and " + SETTINGS_VARIABLE + " is not set");
        }
        return Path.of(path);
    }
}
