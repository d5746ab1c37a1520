package org.gooseberrypier.standin.endpoint;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;
import org.gooseberrypier.http.HostPort;
import org.gooseberrypier.http.HttpCall;
import org.gooseberrypier.http.HttpReply;
import org.gooseberrypier.http.HttpServer;

/** Runs tasks by waiting for as long as each would take, a bounded number at once. */
public final class EndpointServer implements AutoCloseable {

    private static final String TASKS = "/v1/tasks/";
    private static final int STRAGGLE_FACTOR = 10;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final HttpReply NOT_RUN = new HttpReply(UNAVAILABLE, Map.of("outcome", "not-run"), new byte[0]);

    private final String name;
    private final EventLoopGroup group;
    private final int slots;
    private final TaskRunner runner;
    private final EndpointListener listener;
    private final AtomicInteger taken = new AtomicInteger();
    private final Map<String, RunningTask> running = new ConcurrentHashMap<>();
    private final HttpServer server;
    private volatile FailureMode mode;

    private EndpointServer(Builder builder, HostPort address) {
        name = builder.name;
        group = builder.group;
        slots = builder.slots;
        runner = builder.runner;
        listener = builder.listener;
        mode = builder.mode;
        server = HttpServer.builder(group, this::handle).open(address);
    }

    /**
     * Starts a builder.
     *
     * @param group the event loops
     * @return the builder
     */
    public static Builder builder(EventLoopGroup group) {
        return new Builder(group);
    }

    /**
     * Opens a stand-in that never misbehaves.
     *
     * @param group its event loops
     * @param address where to listen
     * @param slots how many tasks it runs at once
     * @param runner what a task does
     * @return the open server
     */
    public static EndpointServer open(EventLoopGroup group, HostPort address, int slots, TaskRunner runner) {
        return builder(group).slots(slots).runner(runner).open(address);
    }

    /**
     * Returns the address that it listens on.
     *
     * @return the address
     */
    public HostPort address() {
        return server.address();
    }

    /**
     * Returns how many tasks run now and will end.
     *
     * @return running tasks, without those that a silent endpoint holds for good
     */
    public int runningTasks() {
        return running.size();
    }

    /**
     * Changes how the endpoint misbehaves from the next task on.
     *
     * @param value the failure mode
     */
    public void setMode(FailureMode value) {
        mode = Objects.requireNonNull(value, "value");
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(HttpCall call) {
        if (call.target().equals("/v1/health")) {
            call.reply(HttpReply.text(OK, "text/plain", "ok\n"));
        } else if (!call.target().startsWith(TASKS)) {
            call.reply(HttpReply.text(NOT_FOUND, "text/plain", "no such resource\n"));
        } else if (call.method().equals("POST")) {
            start(call);
        } else if (call.method().equals("DELETE")) {
            cancel(call);
        } else {
            call.reply(HttpReply.text(NOT_FOUND, "text/plain", "no such method\n"));
        }
    }

    private void start(HttpCall call) {
        FailureMode now = mode;
        if (now == FailureMode.REFUSE || taken.incrementAndGet() > slots) {
            if (now != FailureMode.REFUSE) {
                taken.decrementAndGet();
            }
            listener.refused(name);
            call.reply(NOT_RUN);
            return;
        }
        String job = call.header("Job-Id").orElse("");
        String task = call.header("Task-Id").orElse("");
        TaskRunner.Run run = runner.start(job, task, call.body());
        long durationMs = now == FailureMode.STRAGGLE ? run.durationMs() * STRAGGLE_FACTOR : run.durationMs();
        TaskBody body = TaskBody.parse(call.body()).orElse(new TaskBody(run.durationMs(), job, 0, false));
        TaskStart start = new TaskStart(name, job, task, body, System.currentTimeMillis(), durationMs);
        listener.started(start);
        call.onDisconnect(() -> listener.wasted(start, EndpointListener.Waste.CALLER_DISCONNECTED));
        run(call, start, run, now);
    }

    private void run(HttpCall call, TaskStart start, TaskRunner.Run run, FailureMode now) {
        if (now == FailureMode.FAIL) {
            taken.decrementAndGet();
            listener.failed(start);
            call.reply(HttpReply.text(INTERNAL_ERROR, "text/plain", "the task failed\n"));
        } else if (now != FailureMode.SILENT) {
            RunningTask task = new RunningTask(call);
            running.put(key(call), task);
            task.timer = group.schedule(() -> end(task, start, run), start.durationMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void end(RunningTask task, TaskStart start, TaskRunner.Run run) {
        running.remove(key(task.call), task);
        if (!task.ended.compareAndSet(false, true)) {
            return;
        }
        taken.decrementAndGet();
        long deadlineMs = task.call.header("Deadline-Ms").map(Long::parseLong).orElse(Long.MAX_VALUE);
        if (System.currentTimeMillis() - start.startedAtMs() > deadlineMs) {
            listener.wasted(start, EndpointListener.Waste.PAST_DEADLINE);
        }
        task.call.reply(new HttpReply(OK, Map.of(), run.result()));
    }

    private void cancel(HttpCall call) {
        RunningTask task = running.remove(key(call));
        if (task == null || !task.ended.compareAndSet(false, true)) {
            call.reply(HttpReply.text(NOT_FOUND, "text/plain", "no such task runs\n"));
            return;
        }
        taken.decrementAndGet();
        if (task.timer != null) {
            task.timer.cancel(false);
        }
        task.call.reply(new HttpReply(CONFLICT, Map.of("outcome", "cancelled"), new byte[0]));
        call.reply(HttpReply.text(OK, "text/plain", "stopped\n"));
    }

    private static String key(HttpCall call) {
        return call.header("Job-Id").orElse("") + " " + call.header("Task-Id").orElse("");
    }

    /** Builds a stand-in endpoint. */
    public static final class Builder {

        private static final int DEFAULT_SLOTS = 8;

        private final EventLoopGroup group;
        private String name = "endpoint";
        private int slots = DEFAULT_SLOTS;
        private TaskRunner runner = new TimedRunner(1);
        private EndpointListener listener = EndpointListener.NONE;
        private FailureMode mode = FailureMode.NONE;

        private Builder(EventLoopGroup group) {
            this.group = Objects.requireNonNull(group, "group");
        }

        /**
         * Sets the name that listeners hear.
         *
         * @param value the name
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets how many tasks run at once.
         *
         * @param value slots
         * @return this builder
         */
        public Builder slots(int value) {
            slots = value;
            return this;
        }

        /**
         * Sets what a task does.
         *
         * @param value the runner
         * @return this builder
         */
        public Builder runner(TaskRunner value) {
            runner = value;
            return this;
        }

        /**
         * Sets who hears of starts.
         *
         * @param value the listener
         * @return this builder
         */
        public Builder listener(EndpointListener value) {
            listener = value;
            return this;
        }

        /**
         * Sets how the endpoint misbehaves.
         *
         * @param value the failure mode
         * @return this builder
         */
        public Builder mode(FailureMode value) {
            mode = value;
            return this;
        }

        /**
         * Opens the stand-in.
         *
         * @param address where to listen
         * @return the open server
         */
        public EndpointServer open(HostPort address) {
            return new EndpointServer(this, address);
        }
    }

    private static final class RunningTask {
        private final HttpCall call;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile java.util.concurrent.Future<?> timer;

        RunningTask(HttpCall call) {
            this.call = call;
        }
    }
}
