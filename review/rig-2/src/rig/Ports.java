package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free loopback addresses and ports. */
final class Ports {

    /** The metrics port of a VM, which its settings cannot change. */
    private static final int METRICS = 9464;

    /** Below the ports that the system gives to outgoing connections, which may take a port before its user listens. */
    private static final int FIRST = 12_000;

    private static final int LAST = 32_000;
    private static final int TRIES = 200;
    private static final Set<Integer> GIVEN = new HashSet<>();

    private Ports() {}

    /** Returns a port that is free and was not returned before. */
    static synchronized int free(String ip) throws IOException {
        for (int i = 0; i < TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
            if (!GIVEN.contains(port) && isFree(ip, port)) {
                GIVEN.add(port);
                return port;
            }
        }
        throw new IOException("no free port on " + ip);
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return true;
        } catch (IOException taken) {
            return false;
        }
    }

    /** Returns a loopback address on which the metrics port is free. */
    static String ip() throws IOException {
        for (int i = 0; i < TRIES; i++) {
            ThreadLocalRandom r = ThreadLocalRandom.current();
            String ip = "127." + r.nextInt(1, 255) + "." + r.nextInt(1, 255) + "." + r.nextInt(2, 255);
            if (isFree(ip, METRICS)) {
                return ip;
            }
        }
        throw new IOException("no loopback address with a free metrics port");
    }
}
