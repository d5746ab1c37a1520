package org.gooseberrypier.server.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.VmId;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.server.settings.AuditSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class AuditLogTest {

    private static final long NEVER_MS = 3_600_000;

    private final List<Payload> appended = new ArrayList<>();
    private final List<CompletableFuture<AppendResult>> results = new ArrayList<>();
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private ScheduledExecutorService timers;
    private AuditLog auditLog;

    @BeforeMethod
    public void setUp() {
        appended.clear();
        results.clear();
        meters.clear();
        timers = Executors.newSingleThreadScheduledExecutor();
        AuditSettings settings = new AuditSettings(5, NEVER_MS, 3, 6);
        auditLog = new AuditLog(new Member(new VmId("ada"), 7), settings, this::append, timers, meters);
    }

    @AfterMethod
    public void tearDown() {
        auditLog.close();
        timers.shutdownNow();
    }

    @Test
    public void appendsOneBoundedBatchAtATime() throws Exception {
        add(5);
        auditLog.flush();
        auditLog.flush();
        assertEquals(appended.size(), 1);
        assertEquals(sequences(appended.get(0).text()), List.of(1, 2, 3));
        results.get(0).complete(new AppendResult.Appended(0));
        auditLog.flush();
        assertEquals(sequences(appended.get(1).text()), List.of(4, 5));
        results.get(1).complete(new AppendResult.Appended(1));
        auditLog.flush();
        assertEquals(appended.size(), 2, "nothing waits any more");
    }

    @Test
    public void anUncertainBatchIsRetriedWithTheSameSequenceNumbers() throws Exception {
        add(2);
        auditLog.flush();
        results.get(0).complete(new AppendResult.Uncertain("timeout"));
        auditLog.flush();
        assertEquals(sequences(appended.get(1).text()), List.of(1, 2));
    }

    @Test
    public void entriesBeyondTheLimitsAreDroppedOldestFirstAndCounted() throws Exception {
        add(8);
        assertEquals(sequences(auditLog.tail()), List.of(4, 5, 6, 7, 8));
        assertEquals(meters.get("gooseberrypier.audit.dropped").counter().count(), 2.0);
        auditLog.flush();
        assertEquals(sequences(appended.get(0).text()), List.of(3, 4, 5));
    }

    @Test
    public void anEntryDroppedDuringItsAppendDoesNotRemoveOthers() throws Exception {
        add(6);
        auditLog.flush();
        add(2);
        results.get(0).complete(new AppendResult.Appended(0));
        auditLog.flush();
        assertEquals(sequences(appended.get(1).text()), List.of(4, 5, 6));
    }

    private void add(int count) {
        for (int i = 0; i < count; i++) {
            auditLog.add(new AuditEntry(12, AuditEntry.Kind.QUOTA_HIT, "koda \"x\"", 3, "line\nbreak"));
        }
    }

    private CompletableFuture<AppendResult> append(Payload data) {
        appended.add(data);
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        results.add(result);
        return result;
    }

    private static List<Integer> sequences(String json) throws Exception {
        JsonNode root = new ObjectMapper().readTree(json);
        assertEquals(root.path("vm").textValue(), "ada");
        List<Integer> sequences = new ArrayList<>();
        root.path("entries").forEach(e -> sequences.add(e.path("sequence").intValue()));
        return sequences;
    }
}
