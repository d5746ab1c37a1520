package org.gooseberrypier.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Plain socket server that runs a script on each connection. */
final class RawServer implements AutoCloseable {

    private final ServerSocket listener;
    private final AtomicInteger accepted = new AtomicInteger();

    RawServer(Script script) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        start(() -> accept(script));
    }

    HostPort address() {
        return new HostPort("127.0.0.1", listener.getLocalPort());
    }

    int accepted() {
        return accepted.get();
    }

    /** Reads the header of one request, or the part of it received before the client closed the connection. */
    static String readHeader(Socket socket) throws IOException {
        StringBuilder header = new StringBuilder();
        while (header.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return header.toString();
            }
            header.append((char) next);
        }
        return header.toString();
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept(Script script) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                int connectionNumber = accepted.incrementAndGet();
                start(() -> run(script, socket, connectionNumber));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void run(Script script, Socket socket, int connectionNumber) {
        try {
            script.run(socket, connectionNumber);
        } catch (IOException e) {
            return;
        }
    }

    private static void start(Runnable body) {
        Thread thread = new Thread(body, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Serves one connection. */
    interface Script {

        void run(Socket socket, int connectionNumber) throws IOException;
    }
}
