package org.gooseberrypier.load.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import org.gooseberrypier.http.HostPort;

/** Finds unused TCP ports on the loopback interface. */
final class FreePorts {

    static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    private FreePorts() {}

    static HostPort nextAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ANY_PORT.host()))) {
            return new HostPort(ANY_PORT.host(), socket.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
