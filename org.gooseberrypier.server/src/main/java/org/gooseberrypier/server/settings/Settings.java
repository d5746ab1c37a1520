package org.gooseberrypier.server.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;

/**
 * The settings of an entry VM.
 *
 * @param vm the name of the VM
 * @param zone its availability zone
 * @param callerAddress the address that callers connect to, IP address and port
 * @param operatorAddress the address that operators connect to, IP address and port
 * @param peerAddress the address that peers connect to, IP address and port
 * @param platformAddress the address of the platform, IP address and port
 * @param placement the placement policy
 * @param callers the limits of the callers' listener
 * @param operators the limits of the operators' listener
 * @param endpoints the settings of the connections to endpoints
 * @param peers the settings of the streams between VMs
 * @param audit the settings of the audit trail
 * @param core the limits of the dispatcher's state
 * @param stop the timeouts of a graceful stop
 */
public record Settings(
        String vm,
        String zone,
        String callerAddress,
        String operatorAddress,
        String peerAddress,
        String platformAddress,
        String placement,
        CallerSettings callers,
        ListenerSettings operators,
        EndpointSettings endpoints,
        PeerSettings peers,
        AuditSettings audit,
        CoreSettings core,
        StopSettings stop) {

    /** Checks that no component is missing. */
    public Settings {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(operatorAddress, "operatorAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(platformAddress, "platformAddress");
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(operators, "operators");
        Objects.requireNonNull(endpoints, "endpoints");
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(audit, "audit");
        Objects.requireNonNull(core, "core");
        Objects.requireNonNull(stop, "stop");
    }

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @return the settings, with defaults for those that the file omits
     * @throws IOException if the file cannot be read
     * @throws SettingsException if the settings are invalid
     */
    public static Settings read(Path file) throws IOException {
        return SettingsCodec.parse(Files.readAllBytes(file));
    }

    /**
     * Creates a builder that starts from the defaults.
     *
     * @param vm the name of the VM
     * @param zone its availability zone
     * @return a builder
     */
    public static SettingsBuilder builder(String vm, String zone) {
        return new SettingsBuilder(vm, zone);
    }

    /**
     * Formats the settings as JSON, including the defaults.
     *
     * @return an indented JSON object
     */
    public String render() {
        return SettingsCodec.format(this);
    }
}
