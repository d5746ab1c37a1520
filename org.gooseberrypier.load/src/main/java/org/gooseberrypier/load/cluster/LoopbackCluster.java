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

/** Entry VMs, endpoints and the platform in one process; tickets reach the VMs through the platform's log alone. */
public final class LoopbackCluster implements AutoCloseable {

    private static final int EVENT_LOOPS = 2;
    private static final int TEAM_WEIGHT = 1;
    private static final int TEAM_MAX_RUNNING = 100_000;
    private static final int TEAM_MAX_QUEUED = 100_000;
    private static final long POLL_MS = 10;

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
     * Opens a cluster without any ticket.
     *
     * @param plan what to open
     * @param listener who hears of starts
     * @return the cluster
     */
    public static LoopbackCluster open(ClusterPlan plan, EndpointListener listener) {
        return new LoopbackCluster(plan, listener);
    }

    /**
     * Publishes a ticket that states the VMs and endpoints as they are now.
     *
     * @param author who issues it
     * @param reason why
     * @return its number
     */
    public synchronized long publish(String author, String reason) {
        publish(ticket(lastNumber + 1, author, reason));
        return ++lastNumber;
    }

    /**
     * Publishes two tickets with the same number at the same time, as two operators would who race.
     *
     * @return the number of both
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
     * Waits until a ticket or a later one is in force on every VM that runs.
     *
     * @param number the number of the ticket
     * @param timeoutMs how long to wait at most, in milliseconds
     * @return how long it took, in milliseconds
     * @throws TimeoutException if some VM has an older ticket at the end
     * @throws InterruptedException if the thread is interrupted
     */
    public long awaitInForce(long number, long timeoutMs) throws TimeoutException, InterruptedException {
        long begin = System.nanoTime();
        while (inForce().values().stream().anyMatch(f -> f.number() < number)) {
            if (elapsedMs(begin) > timeoutMs) {
                throw new TimeoutException("ticket " + number + " is not in force everywhere: " + inForce());
            }
            Thread.sleep(POLL_MS);
        }
        return elapsedMs(begin);
    }

    /**
     * Counts the different tickets that are in force on the VMs that run.
     *
     * @return 1 if all agree
     */
    public long countDistinctTickets() {
        return inForce().values().stream().distinct().count();
    }

    /**
     * Waits until no endpoint runs a task any more.
     *
     * @param timeoutMs how long to wait at most, in milliseconds
     * @return whether nothing runs
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitIdle(long timeoutMs) throws InterruptedException {
        long begin = System.nanoTime();
        while (running() > 0) {
            if (elapsedMs(begin) > timeoutMs) {
                return false;
            }
            Thread.sleep(POLL_MS);
        }
        return true;
    }

    /**
     * Returns where callers connect, as the platform's balancer knows it.
     *
     * @return the address of every VM that runs
     */
    public List<HostPort> callerAddresses() {
        List<HostPort> list = new ArrayList<>();
        vms.values().forEach(v -> list.add(v.vm().callerAddress()));
        return list;
    }

    /**
     * Returns the names of the VMs that run.
     *
     * @return the names in their natural order
     */
    public List<String> vmNames() {
        return List.copyOf(vms.keySet());
    }

    /**
     * Returns the client for requests to this cluster.
     *
     * @return the client
     */
    public HttpClient http() {
        return http;
    }

    /**
     * Kills a VM; nothing of it is left.
     *
     * @param name the VM
     */
    public synchronized void kill(String name) {
        ClusterVm vm = vms.remove(name);
        list(name, VmList.State.REMOVED);
        vm.close();
    }

    /**
     * Retires a VM by a ticket and stops it gracefully.
     *
     * @param name the VM
     * @param timeoutMs how long to wait at most, in milliseconds
     * @return whether the VM had stopped in time
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean retire(String name, long timeoutMs) throws InterruptedException {
        ClusterVm vm = leave(name);
        publish("operator-1", "retire " + name);
        try {
            vm.vm().stop().get(timeoutMs, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException | ExecutionException e) {
            return false;
        } finally {
            vm.close();
            leaving.remove(name);
            list(name, VmList.State.REMOVED);
        }
    }

    private synchronized ClusterVm leave(String name) {
        ClusterVm vm = vms.remove(name);
        leaving.put(name, vm);
        list(name, VmList.State.LEAVING);
        return vm;
    }

    /**
     * Starts a new VM; the next ticket names it.
     *
     * @param name its name
     * @param zone its availability zone
     */
    public synchronized void addVm(String name, String zone) {
        vms.put(name, new ClusterVm(name, zone, plan.placement(), group, platform.address()));
        list(name, VmList.State.LIVE);
    }

    /**
     * Stops VMs of a zone from reaching the platform, and their peers from reaching them.
     *
     * @param zone the availability zone
     * @param cut whether to cut, or else to mend
     */
    public void setPartitioned(String zone, boolean cut) {
        for (ClusterVm v : vms.values()) {
            if (v.zone().equals(zone)) {
                v.setForwarders(cut ? FaultyTcpForwarder.State.DISCONNECTED : FaultyTcpForwarder.State.OPEN);
            }
        }
    }

    /**
     * Changes how an endpoint misbehaves.
     *
     * @param index the place of the endpoint in the plan
     * @param mode the failure mode
     */
    public void setMode(int index, FailureMode mode) {
        endpoints.get(index).setMode(mode);
    }

    /**
     * Lets the next ticket say that an endpoint is leaving.
     *
     * @param index the place of the endpoint in the plan
     */
    public synchronized void setLeaving(int index) {
        leavingEndpoints.add(endpointName(index));
    }

    /**
     * Returns the name of an endpoint.
     *
     * @param index its place in the plan
     * @return the name that tickets use
     */
    public String endpointName(int index) {
        return plan.endpoints().get(index).zone() + "-e" + (index + 1);
    }

    /**
     * Reads the metrics of every VM that runs.
     *
     * @return the sum over the VMs for each name; empty if they serve none
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
        Map<String, CompletableFuture<OperatorClient.InForce>> asked = new HashMap<>();
        vms.forEach((n, v) -> asked.put(n, operators.inForce(v.vm().operatorAddress())));
        Map<String, OperatorClient.InForce> answers = new HashMap<>();
        asked.forEach((n, f) -> answers.put(n, f.join()));
        return answers;
    }

    private void list(String vm, VmList.State state) {
        platform.vms().set(vm, state, System.currentTimeMillis());
    }

    private long running() {
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
