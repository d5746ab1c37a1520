package org.gooseberrypier.load.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpClient;
import org.gooseberrypier.lib.EndpointId;
import org.gooseberrypier.lib.TeamId;
import org.gooseberrypier.lib.WorkId;
import org.gooseberrypier.lib.ZoneId;
import org.gooseberrypier.load.workload.Service;
import org.gooseberrypier.standin.endpoint.EndpointListener;
import org.gooseberrypier.standin.endpoint.EndpointServer;
import org.gooseberrypier.standin.endpoint.FailureMode;
import org.gooseberrypier.standin.endpoint.TimedRunner;
import org.gooseberrypier.standin.platform.LogStore;
import org.gooseberrypier.standin.platform.PlatformServer;
import org.gooseberrypier.standin.platform.VmList;
import org.gooseberrypier.ticket.EndpointSpec;
import org.gooseberrypier.ticket.TeamSpec;
import org.gooseberrypier.ticket.Ticket;
import org.gooseberrypier.ticket.VmSpec;

/**
 * Runs entry VMs, endpoints and the platform in one process.
 *
 * <p>Tickets reach the VMs through the platform's log only.
 */
public final class LoopbackCluster implements AutoCloseable {

    private static final int EVENT_LOOPS = 2;
    private static final int TEAM_WEIGHT = 1;
    private static final int TEAM_MAX_RUNNING = 100_000;
    private static final int TEAM_MAX_QUEUED = 100_000;
    private static final long POLL_INTERVAL_MS = 10;

    private final ClusterPlan plan;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final HttpClient http = HttpClient.builder(group).build();
    private final OperatorClient operators = new OperatorClient(http);
    private final PlatformServer platform;
    private final List<EndpointServer> endpoints = new ArrayList<>();
    private final Map<String, ClusterVm> vms = new ConcurrentSkipListMap<>();
    private final Map<String, ClusterVm> leaving = new ConcurrentSkipListMap<>();
    private final Set<String> leavingEndpoints = new HashSet<>();
    private long lastNumber;

    private LoopbackCluster(ClusterPlan plan, EndpointListener listener) {
        this.plan = plan;
        platform = PlatformServer.open(new LogStore(), group, FreePorts.ANY_PORT);
        for (int i = 0; i < plan.endpoints().size(); i++) {
            EndpointPlan e = plan.endpoints().get(i);
            endpoints.add(EndpointServer.builder(group)
                    .name(endpointName(i))
                    .slots(e.slots())
                    .runner(new TimedRunner(e.speed()))
                    .mode(e.mode())
                    .listener(listener)
                    .open(FreePorts.ANY_PORT));
        }
        for (int i = 0; i < plan.vms(); i++) {
            String zone = plan.zones().get(i % plan.zones().size());
            addVm(zone + "-vm" + (i / plan.zones().size() + 1), zone);
        }
    }

    /**
     * Starts a cluster in which no ticket has been published.
     *
     * @param plan the VMs and endpoints
     * @param listener receives the events of the endpoints, such as starts of tasks
     * @return the cluster
     */
    public static LoopbackCluster open(ClusterPlan plan, EndpointListener listener) {
        return new LoopbackCluster(plan, listener);
    }

    /**
     * Publishes a ticket that lists the present VMs and endpoints.
     *
     * @param author the operator that issues the ticket
     * @param reason the reason that the ticket states
     * @return the number of the ticket
     */
    public synchronized long publish(String author, String reason) {
        publish(ticket(lastNumber + 1, author, reason));
        return ++lastNumber;
    }

    /**
     * Publishes two tickets with the same number at the same time, as two concurrent operators do.
     *
     * @return the number of both tickets
     */
    public synchronized long publishConcurrently() {
        Ticket first = ticket(lastNumber + 1, "operator-1", "race");
        Ticket second = ticket(lastNumber + 1, "operator-2", "race");
        CompletableFuture.allOf(
                        operators.publish(platform.address(), first), operators.publish(platform.address(), second))
                .join();
        return ++lastNumber;
    }

    /**
     * Waits until a ticket or a later one is in force on every running VM.
     *
     * @param number the number of the ticket
     * @param timeoutMs how long to wait at most, in milliseconds
     * @return the time that it took, in milliseconds
     * @throws TimeoutException if an older ticket is still in force on a VM after that time
     * @throws InterruptedException if the thread is interrupted
     */
    public long awaitInForce(long number, long timeoutMs) throws TimeoutException, InterruptedException {
        long beginNanos = System.nanoTime();
        while (inForce().values().stream().anyMatch(f -> f.number() < number)) {
            if (elapsedMs(beginNanos) > timeoutMs) {
                throw new TimeoutException("ticket " + number + " is not in force on all VMs: " + inForce());
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return elapsedMs(beginNanos);
    }

    /**
     * Returns the number of distinct tickets that are in force on the running VMs.
     *
     * @return the number of tickets, 1 if all VMs agree
     */
    public long countDistinctTickets() {
        return inForce().values().stream().distinct().count();
    }

    /**
     * Waits until no endpoint runs a task.
     *
     * @param timeoutMs how long to wait at most, in milliseconds
     * @return whether all endpoints are idle
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitIdle(long timeoutMs) throws InterruptedException {
        long beginNanos = System.nanoTime();
        while (runningTasks() > 0) {
            if (elapsedMs(beginNanos) > timeoutMs) {
                return false;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return true;
    }

    /**
     * Returns the addresses for callers, as the platform's load balancer knows them.
     *
     * @return the address of every running VM
     */
    public List<HostPort> callerAddresses() {
        List<HostPort> list = new ArrayList<>();
        vms.values().forEach(v -> list.add(v.vm().callerAddress()));
        return list;
    }

    /**
     * Returns the names of the running VMs.
     *
     * @return the names in their natural order
     */
    public List<String> vmNames() {
        return List.copyOf(vms.keySet());
    }

    /**
     * Returns the HTTP client for requests to this cluster.
     *
     * @return the client
     */
    public HttpClient http() {
        return http;
    }

    /**
     * Closes a VM without a graceful stop; the platform lists it as removed.
     *
     * @param name the name of the VM
     */
    public synchronized void kill(String name) {
        ClusterVm vm = vms.remove(name);
        setVmState(name, VmList.State.REMOVED);
        vm.close();
    }

    /**
     * Publishes a ticket in which a VM is leaving, and stops that VM gracefully.
     *
     * @param name the name of the VM
     * @param timeoutMs how long to wait at most, in milliseconds
     * @return whether the VM stopped within that time
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean retire(String name, long timeoutMs) throws InterruptedException {
        ClusterVm vm = beginLeaving(name);
        publish("operator-1", "retire " + name);
        try {
            vm.vm().stop().get(timeoutMs, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException | ExecutionException e) {
            return false;
        } finally {
            vm.close();
            leaving.remove(name);
            setVmState(name, VmList.State.REMOVED);
        }
    }

    private synchronized ClusterVm beginLeaving(String name) {
        ClusterVm vm = vms.remove(name);
        leaving.put(name, vm);
        setVmState(name, VmList.State.LEAVING);
        return vm;
    }

    /**
     * Starts a new VM; the next ticket lists it.
     *
     * @param name its name
     * @param zone its availability zone
     */
    public synchronized void addVm(String name, String zone) {
        vms.put(name, new ClusterVm(name, zone, plan.placement(), group, platform.address()));
        setVmState(name, VmList.State.LIVE);
    }

    /**
     * Interrupts or restores the connections of the VMs of a zone to the platform and of their peers to them.
     *
     * @param zone the availability zone
     * @param partitioned true to interrupt the connections, false to restore them
     */
    public void setPartitioned(String zone, boolean partitioned) {
        for (ClusterVm v : vms.values()) {
            if (v.zone().equals(zone)) {
                v.setForwarders(partitioned ? FaultyTcpForwarder.State.DISCONNECTED : FaultyTcpForwarder.State.OPEN);
            }
        }
    }

    /**
     * Sets the failure mode of an endpoint.
     *
     * @param index the index of the endpoint in the plan
     * @param mode the failure mode
     */
    public void setMode(int index, FailureMode mode) {
        endpoints.get(index).setMode(mode);
    }

    /**
     * Marks an endpoint as leaving; the next ticket says so.
     *
     * @param index the index of the endpoint in the plan
     */
    public synchronized void setLeaving(int index) {
        leavingEndpoints.add(endpointName(index));
    }

    /**
     * Returns the name of an endpoint.
     *
     * @param index the index of the endpoint in the plan
     * @return the name that tickets use
     */
    public String endpointName(int index) {
        return plan.endpoints().get(index).zone() + "-e" + (index + 1);
    }

    /**
     * Reads the metrics of every running VM.
     *
     * @return the sum over the VMs for each name; empty if the VMs serve no metrics
     */
    public Map<String, Double> metrics() {
        Map<String, Double> sums = new HashMap<>();
        for (ClusterVm v : vms.values()) {
            operators.metrics(v.vm().operatorAddress()).join().forEach((k, d) -> sums.merge(k, d, Double::sum));
        }
        return sums;
    }

    @Override
    public void close() {
        vms.values().forEach(ClusterVm::close);
        leaving.values().forEach(ClusterVm::close);
        endpoints.forEach(EndpointServer::close);
        platform.close();
        http.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private Map<String, OperatorClient.InForce> inForce() {
        Map<String, CompletableFuture<OperatorClient.InForce>> replies = new HashMap<>();
        vms.forEach((n, v) -> replies.put(n, operators.inForce(v.vm().operatorAddress())));
        Map<String, OperatorClient.InForce> answers = new HashMap<>();
        replies.forEach((n, f) -> answers.put(n, f.join()));
        return answers;
    }

    private void setVmState(String vm, VmList.State state) {
        platform.vms().set(vm, state, System.currentTimeMillis());
    }

    private long runningTasks() {
        return endpoints.stream().mapToLong(EndpointServer::runningTasks).sum();
    }

    private void publish(Ticket ticket) {
        operators.publish(platform.address(), ticket).join();
    }

    private Ticket ticket(long number, String author, String reason) {
        return new Ticket(
                number,
                UUID.randomUUID().toString(),
                author,
                reason,
                Optional.of(vmSpecs()),
                Optional.of(endpointSpecs()),
                Optional.of(teamSpecs()),
                Optional.empty());
    }

    private List<VmSpec> vmSpecs() {
        List<VmSpec> specs = new ArrayList<>();
        vms.values().forEach(v -> specs.add(v.spec(false)));
        leaving.values().forEach(v -> specs.add(v.spec(true)));
        return specs;
    }

    private List<EndpointSpec> endpointSpecs() {
        Set<WorkId> works = new HashSet<>();
        for (Service s : Service.values()) {
            s.works().forEach(w -> works.add(new WorkId(w)));
        }
        List<EndpointSpec> specs = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            EndpointPlan e = plan.endpoints().get(i);
            specs.add(new EndpointSpec(
                    new EndpointId(endpointName(i)),
                    new ZoneId(e.zone()),
                    endpoints.get(i).address().toString(),
                    works,
                    e.slots(),
                    EndpointPlan.CONNECTIONS,
                    Optional.empty(),
                    leavingEndpoints.contains(endpointName(i))));
        }
        return specs;
    }

    private static List<TeamSpec> teamSpecs() {
        List<TeamSpec> specs = new ArrayList<>();
        for (Service s : Service.values()) {
            specs.add(new TeamSpec(new TeamId(s.team()), TEAM_WEIGHT, TEAM_MAX_RUNNING, TEAM_MAX_QUEUED));
        }
        return specs;
    }

    private static long elapsedMs(long beginNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos);
    }
}
