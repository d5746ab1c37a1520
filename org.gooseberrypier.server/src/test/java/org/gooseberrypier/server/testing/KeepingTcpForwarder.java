package org.gooseberrypier.server.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.gooseberrypier.http.HostPort;

/**
 * Forwards TCP connections. Each direction of a connection can be made to keep its bytes, as a cut network does, and to deliver
 * them later, in order and with the end of the stream.
 */
public final class KeepingTcpForwarder implements AutoCloseable {

    private static final int BUFFER_BYTES = 8 << 10;

    private final ServerSocket listener;
    private final HostPort target;
    private final List<Connection> connections = new CopyOnWriteArrayList<>();
    private volatile boolean keepNew;

    /**
     * Opens a forwarder on a free port.
     *
     * @param target the address to forward to
     * @throws IOException if it cannot listen
     */
    public KeepingTcpForwarder(HostPort target) throws IOException {
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
     * Returns a connection.
     *
     * @param index its number in the order of acceptance, from 0
     * @return the connection
     */
    public Connection connection(int index) {
        return connections.get(index);
    }

    /**
     * Returns how many connections were accepted.
     *
     * @return the number of connections
     */
    public int accepted() {
        return connections.size();
    }

    /**
     * Sets whether connections that are opened from now on keep what the client sends.
     *
     * @param value whether they keep it
     */
    public void keepNewConnections(boolean value) {
        keepNew = value;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Connection c : connections) {
            c.abort();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                connections.add(new Connection(client, new Socket(target.host(), target.port()), keepNew));
            } catch (IOException e) {
                continue;
            }
        }
    }

    private static void start(Runnable body) {
        Thread thread = new Thread(body, "keeping-forwarder");
        thread.setDaemon(true);
        thread.start();
    }

    /** A forwarded connection. */
    public static final class Connection {

        private final Socket client;
        private final Socket server;
        private final Direction toTarget;
        private final Direction toClient;

        private Connection(Socket client, Socket server, boolean keep) throws IOException {
            this.client = client;
            this.server = server;
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            toTarget = new Direction(client, server);
            toClient = new Direction(server, client);
            toTarget.keeping = keep;
            start(toTarget::copy);
            start(toClient::copy);
        }

        /**
         * Returns the direction from the client to the target.
         *
         * @return the direction
         */
        public Direction toTarget() {
            return toTarget;
        }

        /**
         * Returns the direction from the target to the client.
         *
         * @return the direction
         */
        public Direction toClient() {
            return toClient;
        }

        /** Keeps the bytes of both directions from now on. */
        public void keep() {
            toTarget.keep();
            toClient.keep();
        }

        private void abort() throws IOException {
            client.close();
            server.close();
            toTarget.deliver();
            toClient.deliver();
        }
    }

    /** One direction of a connection. */
    public static final class Direction {

        private final Socket from;
        private final Socket to;
        private boolean keeping;
        private long readBytes;
        private long deliveredBytes;
        private boolean ended;

        private Direction(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        /** Keeps the bytes, and the end of the stream, from now on. */
        public synchronized void keep() {
            keeping = true;
        }

        /** Delivers what was kept, and forwards again. */
        public synchronized void deliver() {
            keeping = false;
            notifyAll();
        }

        /**
         * Returns how many bytes were read, delivered or not; while bytes are kept, those of one read only.
         *
         * @return the number of bytes
         */
        public synchronized long readBytes() {
            return readBytes;
        }

        /**
         * Returns how many bytes were delivered: they are in the receive buffer of the receiver.
         *
         * @return the number of bytes
         */
        public synchronized long deliveredBytes() {
            return deliveredBytes;
        }

        /**
         * Returns whether the sender has ended the stream, and the end was delivered or the connection has failed.
         *
         * @return whether nothing follows
         */
        public synchronized boolean hasEnded() {
            return ended;
        }

        /**
         * Returns how many bytes have arrived from the sender, delivered or not.
         *
         * @return the number of bytes
         */
        public synchronized long arrivedBytes() {
            try {
                return readBytes + from.getInputStream().available();
            } catch (IOException e) {
                return readBytes;
            }
        }

        /**
         * Returns whether all that the sender has sent was delivered.
         *
         * @return whether nothing is kept here or waits in the socket
         */
        public synchronized boolean isIdle() {
            try {
                return from.getInputStream().available() == 0 && readBytes == deliveredBytes;
            } catch (IOException e) {
                return ended;
            }
        }

        private void copy() {
            try {
                InputStream source = from.getInputStream();
                OutputStream sink = to.getOutputStream();
                byte[] buffer = new byte[BUFFER_BYTES];
                int n = source.read(buffer);
                while (n >= 0) {
                    awaitDelivery(n);
                    sink.write(buffer, 0, n);
                    delivered(n);
                    n = source.read(buffer);
                }
                awaitDelivery(0);
                to.shutdownOutput();
            } catch (IOException e) {
                // The receiver has closed the connection; nothing can be delivered any more.
            } finally {
                markEnded();
            }
        }

        private synchronized void awaitDelivery(int bytes) throws IOException {
            readBytes += bytes;
            while (keeping) {
                try {
                    wait();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }

        private synchronized void delivered(int bytes) {
            deliveredBytes += bytes;
        }

        private synchronized void markEnded() {
            ended = true;
        }
    }
}
