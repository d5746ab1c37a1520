package org.gooseberrypier.pgm;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.platform.PlatformSettings;
import org.gooseberrypier.platform.standin.LocalDeployment;

/** Runs a small deployment on stand-ins of the users' platform in this process and submits jobs to it. */
@Parameters(commandDescription = "Run VMs and stand-ins of the users' platform in this process and submit jobs")
final class PlatformRehearseCommand implements Command {

    private static final int OK = 200;

    @Parameter(names = "--vms", description = "the number of VMs")
    private int vms = 2;

    @Parameter(names = "--endpoints", description = "the number of endpoints")
    private int endpoints = 4;

    @Parameter(names = "--jobs", description = "the number of jobs")
    private int jobs = 40;

    @Parameter(
            names = "--settings",
            description = "a settings file of the platform to read and check first, as an entry VM does")
    private Path settings;

    @Override
    public int call() {
        if (settings != null) {
            try {
                PlatformSettings.read(settings);
            } catch (IOException | IllegalArgumentException e) {
                System.err.println(settings + ": " + e.getMessage());
                return ExitCode.USAGE;
            }
        }
        try (LocalDeployment deployment = new LocalDeployment(vms, endpoints)) {
            for (int i = 0; i < vms; i++) {
                deployment.awaitReady(i);
            }
            int completed = submit(deployment);
            System.out.println("jobs=" + jobs + " completed=" + completed);
            return completed == jobs ? ExitCode.OK : ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private int submit(LocalDeployment deployment) {
        List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            replies.add(deployment.submit(i % vms, String.format("%016x", i), 1 + i % 2, 200));
            if (i % 4 == 3) {
                replies.forEach(r -> r.exceptionally(e -> null).join());
            }
        }
        int completed = 0;
        for (CompletableFuture<HttpReply> r : replies) {
            boolean done = r.handle((reply, error) -> error == null && reply.status() == OK)
                    .join();
            completed += done ? 1 : 0;
        }
        return completed;
    }
}
