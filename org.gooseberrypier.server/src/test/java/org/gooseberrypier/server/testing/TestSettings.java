package org.gooseberrypier.server.testing;

import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.server.settings.Settings;
import org.gooseberrypier.server.settings.SettingsBuilder;

/** Creates settings of VMs that listen on free loopback ports. */
public final class TestSettings {

    private TestSettings() {}

    /**
     * Creates a builder that starts from the defaults.
     *
     * @param vm the name of the VM
     * @param platform the address of the platform's stand-in
     * @return a builder
     */
    public static SettingsBuilder builder(String vm, HostPort platform) {
        return Settings.builder(vm, "tartu-a")
                .set("callerAddress", "127.0.0.1:0")
                .set("operatorAddress", "127.0.0.1:0")
                .set("peerAddress", "127.0.0.1:0")
                .set("platformAddress", platform.toString());
    }

    /**
     * Creates a builder that starts from the defaults, with a platform address on which nothing listens.
     *
     * @return a builder
     */
    public static SettingsBuilder builder() {
        return builder("ada", new HostPort("127.0.0.1", 1));
    }
}
