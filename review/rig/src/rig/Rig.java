package rig;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A small deployment on loopback addresses: the VMs of the system as processes, started with the command of the deploy file,
 * and stand-ins of the store, the minions and the clients in this process.
 */
final class Rig {

    static final String SERVICE = "case-service";

    private static final List<String> ZONES = List.of("tartu-a", "tartu-b", "elva-c");
    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;

    /** The start of the processes, the election and the first config; the bench gives them 15 s. */
    private static final long READY_TIMEOUT_MS = 20_000;

    /** A machine of the system with its one process. */
    static final class Vm {
        final String name;
        final String front;
        private final String readiness;
        private final Path settings;
        private Process process;

        private Vm(String name, String front, String readiness, Path settings) {
            this.name = name;
            this.front = front;
            this.readiness = readiness;
            this.settings = settings;
        }
    }

    final Caller caller = new Caller();
    final List<Vm> vms = new ArrayList<>();
    final List<Minion> minions = new ArrayList<>();

    /** Whether the case applies its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private final Store store = new Store();
    private final Path folder;
    private final String network;
    private final List<String> command;

    private Rig(Path caseFolder) throws IOException {
        Trace.open(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review-");
        // Runs that overlap get different addresses, since the port of the metrics is the same on all VMs.
        long pid = ProcessHandle.current().pid();
        network = "127." + (10 + pid % 200) + "." + (1 + pid / 200 % 250) + ".";
        command = readCommand();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
        Trace.log("trouble=%s command=%s", trouble, String.join(" ", command));
    }

    /**
     * Opens a deployment with three VMs in three zones, and waits until all of them are ready.
     *
     * @param caseFolder where the record is written
     * @param minions the number of minions, spread over the zones
     * @param cores the cores of each
     * @param linkMicros the delay of their links, one way, in microseconds
     * @param kinds the kinds of the minions, their first labels, in turn
     */
    static Rig open(String caseFolder, int minions, int cores, long linkMicros, String... kinds) throws Exception {
        // Without it, a failure of the case would end the JVM with 1, as a broken rule does.
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            error.printStackTrace();
            Trace.log("the case failed: %s", error);
            System.exit(EXIT_NOT_RUN);
        });
        Rig rig = new Rig(Path.of(caseFolder));
        rig.writeConfig();
        for (int i = 0; i < minions; i++) {
            Minion m = new Minion(
                    "i-" + i, rig.network + (100 + i), ZONES.get(i % ZONES.size()), cores, linkMicros, rig.store);
            rig.minions.add(m);
            m.boot(List.of(kinds[i % kinds.length], "r1-" + i / 8));
        }
        for (String zone : ZONES) {
            rig.addVm("edge-" + zone + "-1", zone);
        }
        for (Vm vm : rig.vms) {
            rig.start(vm);
        }
        rig.awaitReady();
        return rig;
    }

    /** Returns the command with which the deploy file starts the role. */
    private static List<String> readCommand() throws IOException {
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!m.find()) {
            throw new IOException("deploy/system.toml names no command");
        }
        return List.of(m.group(1).split(" "));
    }

    /** Writes the first config, which has one queue. Its response-time goal is so long that no job is refused as too late. */
    private void writeConfig() {
        ObjectNode n = Http.JSON.createObjectNode();
        n.put("version", 3);
        n.putArray("routes")
                .addObject()
                .put("name", "r-work")
                .put("host", Caller.HOST)
                .put("path_prefix", Caller.PREFIX)
                .put("kind", "unsafe")
                .put("timeout_ms", 60_000)
                .put("target_latency_ms", 30_000)
                .put("priority", 0)
                .put("service", SERVICE)
                .put("max_attempts", 3)
                .put("stretch", 1.6);
        n.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("health_path", "/health")
                .put("max_conns", 64)
                .put("protocol", "h1")
                .put("tls", false)
                .put("enforces_capacity", true)
                .put("standby", false);
        n.putObject("limits")
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", 262_144)
                .put("header_timeout_ms", 3_000)
                .put("idle_timeout_ms", 15_000);
        store.put("keyed.op", "config", n.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void addVm(String name, String zone) throws IOException {
        String ip = network + (10 + vms.size());
        List<Integer> ports = freePorts(ip, 3);
        String front = ip + ":" + ports.get(0);
        String readiness = ip + ":" + ports.get(1);
        Path settings = folder.resolve(name + ".toml");
        String text = """
                node_name = "%s"
                role = "entry"
                machine_class = "edge"
                serves = ["edge"]
                ip = "%s"
                zone = "%s"
                region = "ee-south"
                port_range = [%d,%d]
                seeds = []
                bootstrap = true
                in_tolerance = false
                discovery = "platform"
                entry = "vip"
                heartbeat_ms = 1500
                contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
                commands = "invocation"
                [zones]
                tartu-a = "ee-south"
                tartu-b = "ee-south"
                elva-c = "ee-south"
                [listen]
                front = "%s"
                readiness_addr = "%s"
                [limits]
                cpu_share = 0.75
                cores = 1
                memory_mb = 430
                max_fds = 4100
                link_mbps = 1000.0
                disk_mb = 0
                [fault_tolerance]
                machines = 2
                zones = 1
                regions = 0
                [bounds]
                contact_ms = 3000
                ack_ms = 4000
                drain_ms = 2000
                grace_s = 6
                config_apply_ms = 2000
                recovery_s = 12
                hold_max_ms = 1000
                stop_timeout_ms = 50
                cancel_ms = 3000
                remote_penalty = 3
                require_fencing = true
                lease_ms = 3000
                retransmit_ms = 1300
                [platform]
                address = "%s"
                form = "log"
                writes_per_s = 600
                reads_per_s = 2000
                """
                .formatted(
                        name,
                        ip,
                        zone,
                        ports.get(2),
                        ports.get(2) + 15,
                        front,
                        readiness,
                        store.open(name, ip));
        Files.writeString(settings, text);
        vms.add(new Vm(name, front, readiness, settings));
    }

    private static List<Integer> freePorts(String ip, int count) throws IOException {
        List<ServerSocket> open = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket s = new ServerSocket();
            s.bind(new InetSocketAddress(ip, 0));
            open.add(s);
            ports.add(s.getLocalPort());
        }
        for (ServerSocket s : open) {
            s.close();
        }
        return ports;
    }

    private void start(Vm vm) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GOOSEBERRYPIER_CONFIG", vm.settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(vm.name + ".log").toFile());
        vm.process = builder.start();
        Trace.log("vm %s starts, pid %d, front %s", vm.name, vm.process.pid(), vm.front);
    }

    private void awaitReady() throws InterruptedException {
        long untilMs = Trace.nowMs() + READY_TIMEOUT_MS;
        for (Vm vm : vms) {
            while (!caller.isReady(vm.readiness)) {
                if (Trace.nowMs() > untilMs || !vm.process.isAlive()) {
                    cannotRun("vm " + vm.name + " is not ready");
                }
                Thread.sleep(50);
            }
        }
        Trace.log("all VMs are ready");
    }

    /** Returns all runs of all minions, in the order of their starts. */
    List<Minion.Run> runs() {
        List<Minion.Run> all = new ArrayList<>();
        minions.forEach(m -> all.addAll(m.runs()));
        all.sort(Comparator.comparingLong(r -> r.startedAtMs));
        return all;
    }

    /** Returns the pairs of runs of one task that were at work at the same time, on minions that were up. */
    List<String> concurrentRuns() {
        Map<String, List<Minion.Run>> byTask = new HashMap<>();
        List<String> found = new ArrayList<>();
        for (Minion.Run r : runs()) {
            List<Minion.Run> earlier = byTask.computeIfAbsent(r.task, t -> new ArrayList<>());
            for (Minion.Run e : earlier) {
                if (r.startedAtMs < e.endedAtMs) {
                    found.add("[" + e + "] and [" + r + "]");
                }
            }
            earlier.add(r);
        }
        return found;
    }

    /** Ends the case, since it could not run. */
    void cannotRun(String why) {
        Trace.log("the case could not run: %s", why);
        System.out.println("the case could not run: " + why);
        System.exit(EXIT_NOT_RUN);
    }

    /** Ends the case with its result. */
    void finish(String rule, List<String> breaks) {
        for (Vm vm : vms) {
            if (!vm.process.isAlive()) {
                cannotRun("vm " + vm.name + " has ended");
            }
        }
        breaks.forEach(b -> Trace.log("%s broken: %s", rule, b));
        String result = rule + (breaks.isEmpty() ? " held" : " broken " + breaks.size() + " times") + ", "
                + runs().size() + " runs, trouble=" + trouble;
        Trace.log("%s", result);
        System.out.println(result);
        System.exit(breaks.isEmpty() ? EXIT_HELD : EXIT_BROKEN);
    }

    private void endAll() {
        for (Vm vm : vms) {
            if (vm.process != null) {
                vm.process.destroyForcibly();
                try {
                    vm.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        Trace.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            System.err.println("temporary folder not deleted: " + e);
        }
    }
}
