package org.gooseberrypier.pgm;

import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.beust.jcommander.Parameter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.load.client.JobClient;

/** Options that all job commands share. */
final class JobOptions {

    @Parameter(
            names = "--vm",
            required = true,
            converter = HostPortConverter.class,
            description = "IP:port on which an entry VM accepts calls; several are separated by commas")
    private List<HostPort> vms;

    @Parameter(names = "--home-zone", description = "the availability zone that is responsible for the idempotency key")
    private String homeZone;

    @Parameter(
            names = "--attempt-timeout-ms",
            description = "the timeout after which a job is submitted to the next VM")
    private long attemptTimeoutMs = 15_000;

    /**
     * Runs an action with a client that has these options.
     *
     * @param action the action, which returns the exit code
     * @return the exit code
     */
    int call(Function<JobClient, Integer> action) {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (HttpClient http = HttpClient.builder(group).build()) {
            return action.apply(JobClient.builder(http, () -> vms)
                    .homeZone(homeZone)
                    .attemptTimeoutMs(attemptTimeoutMs)
                    .build());
        } catch (CompletionException e) {
            System.err.println("no answer: " + e.getCause().getMessage());
            return ExitCode.FAILED;
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
