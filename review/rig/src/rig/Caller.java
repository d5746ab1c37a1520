package rig;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Stand-in of a client: hands jobs in, cancels them, and records each call and its answer. */
final class Caller {

    static final String HOST = "jobs.example";
    static final String PREFIX = "/jobs/";

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * Hands in a job of one step that needn't be kept.
     *
     * @param front the address of the VM
     * @param tasks the number of tasks; each asks for one core
     * @param workMs how long a task takes
     * @param label the label that a minion must have, or an empty text
     * @param deadlineMs how long the client waits
     * @return completes with the status, or with -1 if there was no answer
     */
    CompletableFuture<Integer> submit(
            String front, String id, int tasks, long workMs, String label, long deadlineMs) {
        ObjectNode job = Http.JSON.createObjectNode();
        job.put("spec", Long.toString(workMs)).put("best_effort", true);
        ObjectNode step = job.putArray("phases").addObject();
        step.put("count", tasks).put("cpu", 1_000).put("mem_mb", 64).put("estimate_ms", workMs);
        if (!label.isEmpty()) {
            step.put("constraints", label);
        }
        return send(front, "POST", id, job.toString(), deadlineMs);
    }

    /** Cancels a job. */
    CompletableFuture<Integer> cancel(String front, String id, long deadlineMs) {
        return send(front, "DELETE", id, "", deadlineMs);
    }

    private CompletableFuture<Integer> send(String front, String method, String id, String body, long deadlineMs) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + front + PREFIX + id))
                .header("Host", HOST)
                .header("Content-Type", "application/json")
                .header("Gooseberrypier-Deadline-Ms", Long.toString(deadlineMs))
                .timeout(Duration.ofMillis(deadlineMs))
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .build();
        Trace.log("client sends %s %s to %s %s", method, id, front, body);
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).handle((reply, error) -> {
            Trace.log(
                    "client gets for %s %s: %s",
                    method, id, error == null ? reply.statusCode() + " " + reply.body() : error.toString());
            return error == null ? reply.statusCode() : -1;
        });
    }

    /** Returns whether a VM says at its readiness address that it is ready. */
    boolean isReady(String address) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/api/ready"))
                .timeout(Duration.ofMillis(500))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }
}
