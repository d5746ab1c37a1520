package rig;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

/** Clients that submit jobs at a steady rate, each once, and what became of each request. */
final class Load implements AutoCloseable {

    /** A request: when it was sent, and the status of its answer (0: none). */
    record Request(long sentMs, int status, boolean completed) {}

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final List<Request> requests = new ArrayList<>();
    private final Recorder record;

    Load(Recorder record) {
        this.record = record;
    }

    /**
     * Submits jobs until a time, and waits for their answers.
     *
     * @param vm chooses the VM for each
     * @param job makes the body of each
     */
    void run(long untilMs, double perSecond, Supplier<Vm> vm, Supplier<String> job, long deadlineMs)
            throws InterruptedException {
        long startNanos = System.nanoTime();
        for (long n = 0; record.nowMs() < untilMs; n++) {
            long waitMs = (long) (n * 1_000 / perSecond) - (System.nanoTime() - startNanos) / 1_000_000;
            if (waitMs > 0) {
                Thread.sleep(waitMs);
            }
            Vm to = vm.get();
            callers.execute(() -> send(to, job.get(), deadlineMs));
        }
        Thread.sleep(deadlineMs + 500);
    }

    private void send(Vm to, String body, long deadlineMs) {
        String id = Case.newId();
        long sentMs = record.nowMs();
        record.write("job " + id + " sent to " + to.name);
        Caller.Answer a = Caller.call(
                to.front, "POST", Case.PREFIX + id, Case.HOST, body, deadlineMs, deadlineMs + 100, null);
        record.write("job " + id + " answered " + a.status() + " " + a.body());
        synchronized (requests) {
            requests.add(new Request(sentMs, a.status(), a.status() == 200 && a.body().contains("completed")));
        }
    }

    /** Returns how many requests were sent from one time to another, and how many of them were served. */
    int[] count(long fromMs, long toMs) {
        synchronized (requests) {
            int sent = 0;
            int served = 0;
            for (Request r : requests) {
                if (r.sentMs() >= fromMs && r.sentMs() < toMs) {
                    sent++;
                    served += r.completed() ? 1 : 0;
                }
            }
            return new int[] {sent, served};
        }
    }

    void report(long fromMs, long toMs, long stepMs) {
        for (long t = fromMs; t < toMs; t += stepMs) {
            int[] c = count(t, t + stepMs);
            record.say("requests sent from " + t + " ms: " + c[0] + ", served: " + c[1]);
        }
    }

    @Override
    public void close() {
        callers.shutdownNow();
    }
}
