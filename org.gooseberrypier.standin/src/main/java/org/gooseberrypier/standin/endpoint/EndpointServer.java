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

/** Simulates an endpoint: answers each task after its duration, up to a limit of concurrent tasks. */
public final class EndpointServer implements AutoCloseable {

    private static final String TASK_PATH_PREFIX = "/v1/tasks/";
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
    private final AtomicInteger usedSlots = new AtomicInteger();
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
     * Creates a builder.
     *
     * @param group the event loops of all connections
     * @return the builder
     */
    public static Builder builder(EventLoopGroup group) {
        return new Builder(group);
    }

    /**
     * Opens a stand-in without faults.
     *
     * @param group the event loops of all connections
     * @param address the address to listen on; port 0 chooses a free port
     * @param slots the maximum number of concurrent tasks
     * @param runner determines the duration and the result of each task
     * @return the open server
     */
    public static EndpointServer open(EventLoopGroup group, HostPort address, int slots, TaskRunner runner) {
        return builder(group).slots(slots).runner(runner).open(address);
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
     * Returns the number of running tasks.
     *
     * @return the number of tasks, without those started in mode {@link FailureMode#SILENT}, which never end
     */
    public int runningTasks() {
        return running.size();
    }

    /**
     * Sets the failure mode for tasks that start after this call.
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
        } else if (!call.target().startsWith(TASK_PATH_PREFIX)) {
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
        FailureMode currentMode = mode;
        if (currentMode == FailureMode.REFUSE || usedSlots.incrementAndGet() > slots) {
            if (currentMode != FailureMode.REFUSE) {
                usedSlots.decrementAndGet();
            }
            listener.refused(name);
            call.reply(NOT_RUN);
            return;
        }
        String job = call.header("Job-Id").orElse("");
        String task = call.header("Task-Id").orElse("");
        TaskRunner.Run run = runner.start(job, task, call.body());
        long durationMs = currentMode == FailureMode.STRAGGLE ? run.durationMs() * STRAGGLE_FACTOR : run.durationMs();
        TaskBody body = TaskBody.parse(call.body()).orElse(new TaskBody(run.durationMs(), job, 0, false));
        TaskStart start = new TaskStart(name, job, task, body, System.currentTimeMillis(), durationMs);
        listener.started(start);
        call.onDisconnect(() -> listener.wasted(start, EndpointListener.Waste.CALLER_DISCONNECTED));
        run(call, start, run, currentMode);
    }

    private void run(HttpCall call, TaskStart start, TaskRunner.Run run, FailureMode currentMode) {
        if (currentMode == FailureMode.FAIL) {
            usedSlots.decrementAndGet();
            listener.failed(start);
            call.reply(HttpReply.text(INTERNAL_ERROR, "text/plain", "the task failed\n"));
        } else if (currentMode != FailureMode.SILENT) {
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
        usedSlots.decrementAndGet();
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
        usedSlots.decrementAndGet();
        if (task.timer != null) {
            task.timer.cancel(false);
        }
        task.call.reply(new HttpReply(CONFLICT, Map.of("outcome", "cancelled"), new byte[0]));
        call.reply(HttpReply.text(OK, "text/plain", "stopped\n"));
    }

    private static String key(HttpCall call) {
        return call.header("Job-Id").orElse("") + " " + call.header("Task-Id").orElse("");
    }

    /** Builds an {@link EndpointServer}. */
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
         * Sets the endpoint name that is passed to the listener.
         *
         * @param value the name
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets the maximum number of concurrent tasks; further ones are answered with "not run".
         *
         * @param value the number of slots
         * @return this builder
         */
        public Builder slots(int value) {
            slots = value;
            return this;
        }

        /**
         * Sets the runner that determines the duration and the result of each task.
         *
         * @param value the runner
         * @return this builder
         */
        public Builder runner(TaskRunner value) {
            runner = value;
            return this;
        }

        /**
         * Sets the listener that receives the events of the endpoint.
         *
         * @param value the listener
         * @return this builder
         */
        public Builder listener(EndpointListener value) {
            listener = value;
            return this;
        }

        /**
         * Sets the initial failure mode.
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
         * @param address the address to listen on; port 0 chooses a free port
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
