package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberrypier.server.EntryVm;
import org.gooseberrypier.server.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs an entry VM until it has stopped; SIGTERM starts a graceful stop. */
@Parameters(commandDescription = "Run an entry VM; SIGTERM stops it gracefully")
final class ServeCommand implements Command {

    private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

    /** Longer than a graceful stop can take, which has its own time limit. */
    private static final long STOP_TIMEOUT_MS = 120_000;

    @Parameter(names = "--settings", required = true, description = "the settings file")
    private Path settings;

    @Override
    public int call() {
        EntryVm vm;
        try {
            vm = EntryVm.open(Settings.read(settings));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(settings + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(vm), "graceful-stop"));
        try {
            vm.termination().join();
            return ExitCode.OK;
        } catch (CompletionException e) {
            System.err.println("the entry VM stopped after an error: " + e.getCause());
            return ExitCode.FAILED;
        }
    }

    private static void stop(EntryVm vm) {
        if (vm.termination().isDone()) {
            return;
        }
        try {
            vm.stop().get(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("event=stop_incomplete error=\"{}\"", e.toString());
        }
    }
}
