package rig;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

/**
 * The platform's way to the VMs: it asks each VM for its readiness once a second. After two misses a VM gets no new channels
 * until it is ready again. With fewer than half of a zone's VMs in rotation all of the zone are used; with none, those of the
 * other zones that are in rotation, if there are any.
 */
final class Balancer implements AutoCloseable {

    private final List<Vm> vms;
    private final Map<Vm, Integer> misses = new ConcurrentHashMap<>();
    private volatile boolean closed;

    Balancer(List<Vm> vms) {
        this.vms = List.copyOf(vms);
        for (Vm v : this.vms) {
            misses.put(v, 0);
            Thread t = new Thread(() -> poll(v), "readiness-" + v.name);
            t.setDaemon(true);
            t.start();
        }
    }

    private void poll(Vm v) {
        while (!closed) {
            int missed = v.isReady() ? 0 : misses.get(v) + 1;
            misses.put(v, missed);
            try {
                Thread.sleep(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean inRotation(Vm v) {
        return misses.get(v) < 2;
    }

    /** Returns the VM for a new channel of a client in a zone. */
    Vm choose(String zone) {
        List<Vm> own = vms.stream().filter(v -> v.zone.equals(zone)).collect(Collectors.toList());
        List<Vm> ready = own.stream().filter(this::inRotation).collect(Collectors.toList());
        List<Vm> others = vms.stream().filter(this::inRotation).collect(Collectors.toList());
        List<Vm> from = ready.size() * 2 >= own.size() ? ready : own;
        if (ready.isEmpty() && !others.isEmpty()) {
            from = others;
        }
        return from.get(ThreadLocalRandom.current().nextInt(from.size()));
    }

    @Override
    public void close() {
        closed = true;
    }
}
