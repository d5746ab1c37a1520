package org.gooseberrypier.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.gooseberrypier.http.HostPort;

/** A VM as a process, with its settings file and its log. */
final class VmProcess implements AutoCloseable {

    private static final long END_TIMEOUT_S = 5;

    private static final List<String> JVM_OPTIONS = List.of(
            "-Xmx194m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Dgooseberrypier.log.stdout=true");

    private static final String SETTINGS =
            """
            node_name = "%s"
            role = "entry"
            ip = "%s"
            zone = "%s"
            port_range = [%d,%d]
            [listen]
            front = "%s"
            readiness_addr = "%s"
            [limits]
            cpu_share = 0.75
            cores = 1
            [bounds]
            grace_s = 6
            remote_penalty = 3
            [platform]
            address = "%s"
            """;

    private final int party;
    private final String name;
    private final String zone;
    private final Addresses addresses;
    private final Process process;

    /**
     * Starts a VM.
     *
     * @param party its party number
     * @param name its name
     * @param zone its zone
     * @param addresses the addresses of the run
     * @param jar the program
     * @param folder where its settings and its log are written
     * @throws IOException if the process cannot be started
     */
    VmProcess(int party, String name, String zone, Addresses addresses, Path jar, Path folder) throws IOException {
        this.party = party;
        this.name = name;
        this.zone = zone;
        this.addresses = addresses;
        Path settings = folder.resolve(name + ".toml");
        HostPort peers = addresses.own(party, Addresses.PEER_PORT);
        Files.writeString(
                settings,
                SETTINGS.formatted(
                        name,
                        peers.host(),
                        zone,
                        peers.port(),
                        peers.port() + 15,
                        callers(),
                        readiness(),
                        addresses.of(Addresses.STORE, party, Addresses.STORE_PORT)));
        List<String> command = new java.util.ArrayList<>(List.of("java"));
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-jar", jar.toString(), "platform", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GOOSEBERRYPIER_CONFIG", settings.toString());
        process = builder.redirectOutput(folder.resolve(name + ".log").toFile()).start();
    }

    int party() {
        return party;
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    HostPort callers() {
        return addresses.own(party, Addresses.CALLER_PORT);
    }

    HostPort readiness() {
        return addresses.own(party, Addresses.READINESS_PORT);
    }

    /** Stops the process, as a host does that gives its processors to others, or lets it go on. */
    void pause(boolean value) {
        try {
            new ProcessBuilder("kill", value ? "-STOP" : "-CONT", Long.toString(process.pid())).start();
        } catch (IOException e) {
            throw new IllegalStateException("cannot signal " + name, e);
        }
    }

    /** Ends the process. */
    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
