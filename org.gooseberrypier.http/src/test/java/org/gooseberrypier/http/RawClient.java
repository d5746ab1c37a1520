package org.gooseberrypier.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Plain socket client that writes any bytes, also malformed requests. */
final class RawClient implements AutoCloseable {

    private static final int READ_TIMEOUT_MS = 20_000;

    private final Socket socket;

    RawClient(HostPort address) throws IOException {
        socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
    }

    RawClient write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return this;
    }

    /** Reads until the server closes the connection. */
    String readAll() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Reads until the received text contains the given one, and returns all of it. */
    String readUntil(String end) throws IOException {
        StringBuilder all = new StringBuilder();
        while (all.indexOf(end) < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("connection closed after: " + all);
            }
            all.append((char) next);
        }
        return all.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
