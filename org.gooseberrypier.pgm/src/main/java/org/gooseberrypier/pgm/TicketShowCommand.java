package org.gooseberrypier.pgm;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpRequestSpec;

/**
 * Prints the ticket in force on each VM and whether the VMs agree.
 *
 * <p>The exit code is 0 if all VMs gave the same answer, 1 if they differ or one did not answer.
 */
@Parameters(commandDescription = "Print the ticket in force on each VM")
final class TicketShowCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long REQUEST_TIMEOUT_MS = 3_000;
    private static final int OK = 200;

    @Parameter(
            names = "--vm",
            required = true,
            converter = HostPortConverter.class,
            description = "IP:port on which a VM listens for operators; repeat the option for each VM")
    private List<HostPort> vms = new ArrayList<>();

    @Parameter(names = "--whole", description = "print the whole answer of each VM")
    private boolean whole;

    @Override
    public int call() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (HttpClient client = HttpClient.builder(group).build()) {
            TreeSet<String> states = new TreeSet<>();
            for (HostPort vm : vms) {
                states.add(show(client, vm));
            }
            boolean same = states.size() == 1 && !states.first().isEmpty();
            System.out.println(same ? "all the same" : "the VMs differ or do not answer");
            return same ? ExitCode.OK : ExitCode.FAILED;
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    private String show(HttpClient client, HostPort vm) {
        try {
            HttpReply reply = client.send(vm, HttpRequestSpec.get("/v1/ticket", REQUEST_TIMEOUT_MS))
                    .join();
            JsonNode json = MAPPER.readTree(reply.body());
            if (reply.status() != OK || !json.path("number").isIntegralNumber()) {
                System.out.println("vm=" + vm + " error=\"status " + reply.status() + '"');
                return "";
            }
            String state = "ticket=" + json.path("number").asLong() + " id="
                    + json.path("uniqueId").asText("?") + " offset="
                    + json.path("offset").asLong();
            System.out.println("vm=" + vm + " " + state);
            if (whole) {
                System.out.println(json.toPrettyString());
            }
            return state;
        } catch (CompletionException | IOException e) {
            System.out.println("vm=" + vm + " error=\"" + e.getMessage() + '"');
            return "";
        }
    }
}
