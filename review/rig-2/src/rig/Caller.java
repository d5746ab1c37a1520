package rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client: one channel a call. */
final class Caller {

    /** Status 0: no answer, for the reason in the body. */
    record Answer(int status, String body) {}

    private Caller() {}

    static String job(String spec, int count, long cpu, long memMb, long estimateMs, String constraints) {
        return "{\"spec\":\"" + spec + "\",\"best_effort\":true,\"phases\":[{\"count\":" + count + ",\"cpu\":" + cpu
                + ",\"mem_mb\":" + memMb + ",\"estimate_ms\":" + estimateMs
                + (constraints.isEmpty() ? "" : ",\"constraints\":\"" + constraints + "\"") + "}]}";
    }

    /**
     * Sends a request and waits for its answer.
     *
     * @param deadlineMs the value of the deadline header; 0 for none
     * @param waitMs how long to wait for the answer; then the channel is closed
     */
    static Answer call(InetSocketAddress to, String method, String path, String host, String body, long deadlineMs,
            long waitMs, Runnable sent) {
        try (Socket s = new Socket()) {
            s.setTcpNoDelay(true);
            s.connect(to, 1_000);
            s.setSoTimeout((int) waitMs);
            byte[] b = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            StringBuilder h = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
            if (body != null) {
                h.append("Content-Type: application/json\r\n");
            }
            if (deadlineMs > 0) {
                h.append("Gooseberrypier-Deadline-Ms: ").append(deadlineMs).append("\r\n");
            }
            h.append("Content-Length: ").append(b.length).append("\r\n\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(h.toString().getBytes(StandardCharsets.US_ASCII));
            out.write(b);
            s.getOutputStream().write(out.toByteArray());
            s.getOutputStream().flush();
            if (sent != null) {
                sent.run();
            }
            return read(new BufferedInputStream(s.getInputStream()));
        } catch (SocketTimeoutException e) {
            return new Answer(0, "no answer in time");
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    private static Answer read(InputStream in) throws IOException {
        String status = line(in);
        if (status == null) {
            return new Answer(0, "channel closed");
        }
        int length = 0;
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            if (l.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(l.substring(15).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return new Answer(0, "answer cut off");
        }
        return new Answer(Integer.parseInt(status.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream l = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return l.toString(StandardCharsets.US_ASCII).replace("\r", "");
            }
            l.write(c);
        }
        return l.size() == 0 ? null : l.toString(StandardCharsets.US_ASCII);
    }
}
