package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** A small deployment on loopback addresses, and how a case reports its result. */
abstract class Case implements AutoCloseable {

    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Recorder record;
    final Store store;
    final List<Vm> vms = new ArrayList<>();
    final List<Minion> minions = new ArrayList<>();

    /** The case could not be run. */
    static final class CannotRun extends Exception {
        CannotRun(String why) {
            super(why);
        }
    }

    Case() throws IOException {
        folder = Files.createTempDirectory("review-case");
        record = new Recorder(Path.of(System.getProperty("record")));
        store = new Store(record);
        record.say("trouble=" + trouble);
    }

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    void configure(boolean guards) {
        store.put("keyed.op", "config", "{\"version\":3,\"routes\":[{\"name\":\"q1\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"" + PREFIX + "\",\"service\":\"case-service\",\"kind\":\"unsafe\",\"timeout_ms\":60000,"
                + "\"target_latency_ms\":60,\"max_attempts\":3,\"priority\":0,\"stretch\":1.6}],\"services\":[{\"name\":"
                + "\"case-service\",\"health_path\":\"/health\",\"max_conns\":64,\"enforces_capacity\":" + guards
                + "}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144}}");
    }

    /** Starts VMs of equal size and waits until all are ready. */
    void startVms(String... zones) throws Exception {
        for (String zone : zones) {
            addVm(zone, 1);
        }
        awaitReady(30_000);
    }

    /** Starts a VM that reaches the store by a door of its own. */
    Vm addVm(String zone, double cores) throws Exception {
        Store.Door door = store.open("127.0.0.1");
        Vm vm = new Vm("edge-" + vms.size(), zone, cores, door, folder);
        vms.add(vm);
        vm.start();
        record.write("vm " + vm.name + " zone=" + zone + " front=" + vm.front + " peers=" + vm.peerAddress());
        return vm;
    }

    /** Returns the VM that wrote to the store under a condition last. */
    Vm owner() throws CannotRun {
        for (Vm v : vms) {
            if (store.newest("keyed.pool").contains("\"" + v.peerAddress() + "\"")) {
                return v;
            }
        }
        throw new CannotRun("the store names no owner");
    }

    void awaitReady(long withinMs) throws Exception {
        long until = record.nowMs() + withinMs;
        for (Vm vm : vms) {
            while (!vm.isReady()) {
                if (record.nowMs() > until || !vm.isAlive()) {
                    throw new CannotRun(vm.name + " did not become ready: " + vm.log());
                }
                Thread.sleep(50);
            }
        }
        record.write("all vms are ready");
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    @Override
    public void close() throws Exception {
        for (Vm vm : vms) {
            vm.close();
        }
        minions.forEach(Minion::close);
        store.close();
        String keep = System.getProperty("keeplogs");
        for (Vm vm : vms) {
            if (keep != null) {
                Files.copy(folder.resolve(vm.name + ".log"), Path.of(keep, vm.name + ".log"),
                        StandardCopyOption.REPLACE_EXISTING);
            }
        }
        try (var files = Files.list(folder)) {
            for (Path f : files.toList()) {
                Files.delete(f);
            }
        }
        Files.delete(folder);
        record.close();
    }

    /** Runs a case and ends the process with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void run(Case c) {
        int code = 2;
        // Ends the VMs also if this process is told to end.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(c)));
        try {
            code = c.play() ? 0 : 1;
        } catch (Throwable e) {
            c.record.say("could not run: " + e);
            e.printStackTrace();
        }
        c.record.say("result=" + (code == 0 ? "held" : code == 1 ? "broken" : "not run"));
        end(c);
        Runtime.getRuntime().halt(code);
    }

    private static void end(Case c) {
        try {
            c.close();
        } catch (Exception e) {
            System.out.println("could not clean up: " + e);
        }
    }
}
