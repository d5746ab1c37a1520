package org.gooseberrypier.server.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.gooseberrypier.http.HostPort;

/** Forwards TCP connections; open ones can be made silent for good while new ones work. */
public final class TcpForwarder implements AutoCloseable {

    private final ServerSocket listener;
    private final HostPort target;
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
    private final AtomicInteger accepted = new AtomicInteger();

    /**
     * Opens a forwarder on a free port.
     *
     * @param target where to
     * @throws IOException if it cannot listen
     */
    public TcpForwarder(HostPort target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    /**
     * Returns where it listens.
     *
     * @return the address
     */
    public HostPort address() {
        return new HostPort("127.0.0.1", listener.getLocalPort());
    }

    /**
     * Returns how many connections were accepted.
     *
     * @return connections
     */
    public int accepted() {
        return accepted.get();
    }

    /** Lets every open connection go silent: what is sent on it arrives nowhere, and it stays open. */
    public void silenceOpenConnections() {
        for (Pair p : pairs) {
            p.silent = true;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Pair p : pairs) {
            p.close();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket in = listener.accept();
                Pair pair = new Pair(in, new Socket(target.host(), target.port()));
                pairs.add(pair);
                accepted.incrementAndGet();
                start(() -> pair.copy(pair.in, pair.out));
                start(() -> pair.copy(pair.out, pair.in));
            } catch (IOException e) {
                continue;
            }
        }
    }

    private static void start(Runnable body) {
        Thread thread = new Thread(body, "tcp-forwarder");
        thread.setDaemon(true);
        thread.start();
    }

    private static final class Pair {

        private static final int BUFFER_BYTES = 8 << 10;

        private final Socket in;
        private final Socket out;
        private volatile boolean silent;

        Pair(Socket in, Socket out) {
            this.in = in;
            this.out = out;
        }

        void copy(Socket from, Socket to) {
            try (InputStream source = from.getInputStream()) {
                OutputStream sink = to.getOutputStream();
                byte[] buffer = new byte[BUFFER_BYTES];
                int n = source.read(buffer);
                while (n >= 0) {
                    if (!silent) {
                        sink.write(buffer, 0, n);
                    }
                    n = source.read(buffer);
                }
            } catch (IOException e) {
                silent = true;
            }
            if (!silent) {
                close();
            }
        }

        void close() {
            try {
                in.close();
                out.close();
            } catch (IOException e) {
                silent = true;
            }
        }
    }
}
