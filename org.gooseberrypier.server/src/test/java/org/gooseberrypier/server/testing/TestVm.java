package org.gooseberrypier.server.testing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpRequestSpec;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.server.EntryVm;
import org.gooseberrypier.server.settings.SettingsBuilder;
import org.gooseberrypier.standin.endpoint.EndpointServer;
import org.gooseberrypier.standin.endpoint.TaskRunner;
import org.gooseberrypier.standin.platform.LogStore;
import org.gooseberrypier.standin.platform.PlatformServer;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.TeamSpec;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.TicketCodec;
import org.gooseberrypier.ticket.VmSpec;

/** Runs an entry VM with stand-ins for the platform and for endpoints, all on loopback addresses. */
public final class TestVm implements AutoCloseable {

    private static final int OK = 200;
    private static final long TIMEOUT_MS = 20_000;
    private static final ZoneId ZONE = new ZoneId("tartu-a");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final LogStore store = new LogStore();
    private final PlatformServer platform = PlatformServer.open(store, group, new HostPort("127.0.0.1", 0));
    private final List<EndpointServer> endpoints = new ArrayList<>();
    private final HttpClient client = HttpClient.builder(group).build();
    private final EntryVm vm;
    private final Map<String, EntryVm> peers = new LinkedHashMap<>();

    /**
     * Opens the VM without a ticket in force.
     *
     * @param change modifies the settings
     */
    public TestVm(Consumer<SettingsBuilder> change) {
        SettingsBuilder settings = TestSettings.builder("ada", platform.address());
        change.accept(settings);
        vm = EntryVm.open(settings.build());
    }

    /**
     * Opens another VM in the same zone; must be called before {@link #publishTicketWithEndpoints}.
     *
     * @param name its name
     * @return the VM
     */
    public EntryVm openPeer(String name) {
        EntryVm peer =
                EntryVm.open(TestSettings.builder(name, platform.address()).build());
        peers.put(name, peer);
        return peer;
    }

    /**
     * Opens endpoints, publishes a ticket that names the VMs and the endpoints, and waits until the VM is ready.
     *
     * @param count number of endpoints
     * @param slots number of tasks that each endpoint runs concurrently
     * @param runner executes a task
     * @return this test VM
     */
    public TestVm publishTicketWithEndpoints(int count, int slots, TaskRunner runner) {
        List<EndpointSpec> specs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            EndpointServer server = EndpointServer.open(group, new HostPort("127.0.0.1", 0), slots, runner);
            endpoints.add(server);
            specs.add(new EndpointSpec(
                    new EndpointId("e" + i),
                    ZONE,
                    server.address().toString(),
                    Set.of(new WorkId("verify")),
                    slots,
                    64,
                    Optional.empty(),
                    false));
        }
        Ticket ticket = new Ticket(
                1,
                "u1",
                "author",
                "reason",
                Optional.of(vms()),
                Optional.of(specs),
                Optional.of(List.of(new TeamSpec(new TeamId("koda"), 1, 1_000, 10_000))),
                Optional.empty());
        publish(ticket);
        Waiting.until("the VM is ready", () -> operator("/ready").status() == 200);
        return this;
    }

    private List<VmSpec> vms() {
        List<VmSpec> specs = new ArrayList<>();
        specs.add(new VmSpec(new VmId("ada"), ZONE, vm.peerAddress().toString(), false));
        peers.forEach((name, peer) ->
                specs.add(new VmSpec(new VmId(name), ZONE, peer.peerAddress().toString(), false)));
        return specs;
    }

    private void publish(Ticket ticket) {
        HttpRequestSpec append = new HttpRequestSpec(
                "POST",
                "/v1/streams/tickets/records",
                Map.of(),
                TicketCodec.format(ticket).bytes(),
                TIMEOUT_MS);
        HttpReply reply = await(client.send(platform.address(), append));
        if (reply.status() != OK) {
            throw new AssertionError("the ticket was not appended: " + reply.status());
        }
    }

    /**
     * Returns the VM.
     *
     * @return the VM
     */
    public EntryVm vm() {
        return vm;
    }

    /**
     * Returns the log streams of the platform's stand-in.
     *
     * @return the log streams
     */
    public LogStore store() {
        return store;
    }

    /**
     * Returns the stand-ins of endpoints.
     *
     * @return the endpoints
     */
    public List<EndpointServer> endpoints() {
        return endpoints;
    }

    /**
     * Sends a request to the VM as a caller.
     *
     * @param method the method
     * @param path the request target
     * @param headers the header fields
     * @param body the body
     * @return the reply
     */
    public CompletableFuture<HttpReply> call(String method, String path, Map<String, String> headers, String body) {
        return call(vm, method, path, headers, body);
    }

    /**
     * Sends a request to one of the VMs as a caller.
     *
     * @param to the VM
     * @param method the method
     * @param path the request target
     * @param headers the header fields
     * @param body the body
     * @return the reply
     */
    public CompletableFuture<HttpReply> call(
            EntryVm to, String method, String path, Map<String, String> headers, String body) {
        return client.send(
                to.callerAddress(),
                new HttpRequestSpec(method, path, headers, body.getBytes(StandardCharsets.UTF_8), TIMEOUT_MS));
    }

    /**
     * Submits a job to the VM as a caller and waits for the reply.
     *
     * @param body the job as JSON
     * @return the reply
     */
    public HttpReply submit(String body) {
        return await(call("POST", "/v1/jobs", Map.of(), body));
    }

    /**
     * Sends a GET request to the VM as an operator and waits for the reply.
     *
     * @param path the request target
     * @return the reply
     */
    public HttpReply operator(String path) {
        return await(client.send(vm.operatorAddress(), HttpRequestSpec.get(path, TIMEOUT_MS)));
    }

    /**
     * Waits for a reply for a bounded time.
     *
     * @param reply the future reply
     * @return the reply
     */
    public static HttpReply await(CompletableFuture<HttpReply> reply) {
        return reply.orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    }

    /**
     * Formats a job whose tasks have their index in the id and as the body.
     *
     * @param tasks number of tasks
     * @return the job as JSON
     */
    public static String job(int tasks) {
        StringBuilder json =
                new StringBuilder("{\"team\":\"koda\",\"work\":\"verify\",\"deadlineMs\":15000,\"tasks\":[");
        for (int i = 0; i < tasks; i++) {
            json.append(i == 0 ? "" : ",").append("{\"id\":\"t").append(i).append("\",\"body\":\"");
            json.append(i).append("\"}");
        }
        return json.append("]}").toString();
    }

    @Override
    public void close() {
        vm.close();
        peers.values().forEach(EntryVm::close);
        endpoints.forEach(EndpointServer::close);
        platform.close();
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
