package rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One VM of the system: the program of the deploy file, started by its command with a settings file. */
final class Vm implements AutoCloseable {

    private static final Path REPOSITORY = Path.of(System.getProperty("repository"));

    final String name;
    final String zone;
    final String ip;
    final InetSocketAddress front;
    final InetSocketAddress readiness;
    final int peerPort;
    /** Its way to the store. */
    final Store.Door door;
    private final Path settings;
    private final Path log;
    private Process process;

    Vm(String name, String zone, double cores, Store.Door door, Path folder) throws IOException {
        this.door = door;
        InetSocketAddress store = door.address;
        this.name = name;
        this.zone = zone;
        this.ip = Ports.ip();
        front = new InetSocketAddress(ip, Ports.free(ip));
        readiness = new InetSocketAddress(ip, Ports.free(ip));
        peerPort = Ports.free(ip);
        settings = folder.resolve(name + ".toml");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, """
                node_name = "%s"
                role = "entry"
                machine_class = "edge"
                serves = ["edge"]
                ip = "%s"
                zone = "%s"
                region = "ee-south"
                port_range = [%d, %d]
                bootstrap = true
                discovery = "platform"
                entry = "vip"
                heartbeat_ms = 1500
                commands = "invocation"
                [listen]
                front = "%s:%d"
                readiness_addr = "%s:%d"
                [limits]
                cpu_share = 0.75
                cores = %s
                memory_mb = 430
                max_fds = 4100
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
                retransmit_ms = 1300
                [platform]
                address = "%s:%d"
                form = "log"
                """.formatted(name, ip, zone, peerPort, peerPort + 15, ip, front.getPort(), ip, readiness.getPort(),
                Double.toString(cores), store.getHostString(), store.getPort()));
    }

    String peerAddress() {
        return ip + ":" + peerPort;
    }

    /** Starts the program with the command of deploy/system.toml. */
    void start() throws IOException {
        ProcessBuilder b = new ProcessBuilder(command());
        b.directory(REPOSITORY.toFile());
        b.environment().put("GOOSEBERRYPIER_CONFIG", settings.toString());
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = b.start();
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(REPOSITORY.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                List<String> words = new ArrayList<>(List.of(line.substring(7, line.length() - 1).split(" ")));
                return words;
            }
        }
        throw new IOException("deploy/system.toml has no run command");
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal to the process that this case started. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process and waits until it has ended. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    void awaitEnd() throws InterruptedException {
        process.waitFor(20, TimeUnit.SECONDS);
    }

    /** Asks for the readiness of the VM. */
    boolean isReady() {
        Caller.Answer a = Caller.call(readiness, "GET", "/api/ready", "ready.example", null, 0, 1_000, null);
        return a.status() == 200;
    }

    String log() throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            kill();
        }
    }
}
