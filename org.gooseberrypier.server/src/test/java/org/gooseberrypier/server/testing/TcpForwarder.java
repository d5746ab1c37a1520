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

/** Forwards TCP connections. Open connections can be made silent permanently, while new connections are forwarded. */
public final class TcpForwarder implements AutoCloseable {

    private final ServerSocket listener;
    private final HostPort target;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger accepted = new AtomicInteger();

    /**
     * Opens a forwarder on a free port.
     *
     * @param target the address to forward to
     * @throws IOException if it cannot listen
     */
    public TcpForwarder(HostPort target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    /**
     * Returns the address that the forwarder listens on.
     *
     * @return the address
     */
    public HostPort address() {
        return new HostPort("127.0.0.1", listener.getLocalPort());
    }

    /**
     * Returns how many connections were accepted.
     *
     * @return the number of connections
     */
    public int accepted() {
        return accepted.get();
    }

    /** Makes every open connection silent: it stays open, but data sent on it is discarded. */
    public void silenceOpenConnections() {
        for (Connection p : connections) {
            p.silent = true;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Connection p : connections) {
            p.close();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket in = listener.accept();
                Connection connection = new Connection(in, new Socket(target.host(), target.port()));
                connections.add(connection);
                accepted.incrementAndGet();
                start(() -> connection.copy(connection.in, connection.out));
                start(() -> connection.copy(connection.out, connection.in));
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

    private static final class Connection {

        private static final int BUFFER_BYTES = 8 << 10;

        private final Socket in;
        private final Socket out;
        private volatile boolean silent;

        Connection(Socket in, Socket out) {
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
