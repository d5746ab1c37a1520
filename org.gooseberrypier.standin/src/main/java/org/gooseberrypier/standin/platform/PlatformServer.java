package org.gooseberrypier.standin.platform;

import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.http.HttpServer;

/**
 * Serves a {@link LogStore} and a list of VMs over HTTP, with fault injection that can be changed at run time.
 *
 * <p>{@code POST /v1/streams/S/records} appends the body, {@code GET /v1/streams/S/records?from=&max=&maxBytes=&waitMs=}
 * reads, {@code GET /v1/vms} lists the VMs, {@code POST} and {@code DELETE /v1/vms/V} change the list, and
 * {@code POST /control/faults}, {@code /control/expire} and {@code /control/rewind} inject faults.
 */
public final class PlatformServer implements AutoCloseable {

    private static final Pattern RECORDS = Pattern.compile("/v1/streams/([A-Za-z0-9._-]{1,128})/records");
    private static final Pattern VM = Pattern.compile("/v1/vms/([A-Za-z0-9._-]{1,64})");
    private static final Pattern CONTROL = Pattern.compile("/control/([a-z]+)");

    private final EventLoopGroup group;
    private final VmList vms = new VmList();
    private final StreamHandler streams;
    private final VmHandler vmHandler = new VmHandler(vms);
    private final ControlHandler control;
    private final HttpServer server;
    private volatile Faults faults = Faults.NONE;

    private PlatformServer(LogStore store, EventLoopGroup group, HostPort address) {
        this.group = group;
        this.streams = new StreamHandler(store, group);
        this.control = new ControlHandler(store, this::faults, this::setFaults);
        this.server = HttpServer.builder(group, this::handle).open(address);
    }

    /**
     * Opens the stand-in.
     *
     * @param store the streams to serve
     * @param group the event loops
     * @param address the address to listen on; port 0 chooses a free port
     * @return the open server
     */
    public static PlatformServer open(LogStore store, EventLoopGroup group, HostPort address) {
        return new PlatformServer(store, group, address);
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address with the actual port
     */
    public HostPort address() {
        return server.address();
    }

    /**
     * Returns the list of VMs.
     *
     * @return the list, which callers may change
     */
    public VmList vms() {
        return vms;
    }

    /**
     * Returns the fault injection settings.
     *
     * @return the current settings
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Replaces the fault injection settings. Delayed requests keep their delay, and waiting reads are not affected.
     *
     * @param value the new settings
     */
    public void setFaults(Faults value) {
        faults = value;
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpCall call) {
        RequestTarget target = new RequestTarget(call.target());
        Matcher controlPath = CONTROL.matcher(target.path());
        if (controlPath.matches()) {
            answer(call, () -> control(call, controlPath.group(1)));
        } else if (!faults.down()) {
            runDelayed(() -> answer(call, () -> route(call, target)));
        }
    }

    private void runDelayed(Runnable action) {
        long delayMs = faults.delayMs();
        if (delayMs == 0) {
            action.run();
        } else {
            group.schedule(action, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void control(HttpCall call, String action) throws BadRequestException {
        if (call.method().equals("POST")) {
            control.handle(call, action);
        } else {
            Replies.error(call, Replies.METHOD_NOT_ALLOWED, "POST is expected");
        }
    }

    private void route(HttpCall call, RequestTarget target) throws BadRequestException {
        Matcher records = RECORDS.matcher(target.path());
        Matcher vm = VM.matcher(target.path());
        String method = call.method();
        if (records.matches() && method.equals("POST")) {
            streams.append(call, records.group(1), faults);
        } else if (records.matches() && method.equals("GET")) {
            streams.read(call, records.group(1), target, faults);
        } else if (target.path().equals("/v1/vms") && method.equals("GET")) {
            vmHandler.list(call, faults);
        } else if (vm.matches() && method.equals("POST")) {
            vmHandler.put(call, vm.group(1));
        } else if (vm.matches() && method.equals("DELETE")) {
            vmHandler.remove(call, vm.group(1));
        } else {
            Replies.error(call, Replies.NOT_FOUND, "no such resource");
        }
    }

    private static void answer(HttpCall call, Action action) {
        try {
            action.run();
        } catch (BadRequestException | IllegalArgumentException e) {
            Replies.error(call, Replies.BAD_REQUEST, e.getMessage());
        }
    }

    private interface Action {
        void run() throws BadRequestException;
    }
}
