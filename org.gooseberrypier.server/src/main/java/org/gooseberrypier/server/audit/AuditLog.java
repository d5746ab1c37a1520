package org.gooseberrypier.server.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.gooseberrypier.effect.AuditEntry;
import org.gooseberrypier.lib.Member;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.log.AppendResult;
import org.gooseberrypier.server.log.LogText;
import org.gooseberrypier.server.settings.AuditSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records audit entries: logs each entry, keeps the latest in memory, and appends them to the platform's log in
 * batches.
 *
 * <p>At most one append is in flight at a time, and at most one is started in each flush interval. A batch whose append
 * may have failed is appended again, so the log can contain an entry twice; duplicates have the same VM, incarnation
 * and sequence number.
 */
public final class AuditLog implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(AuditLog.class);

    private final Member self;
    private final AuditSettings settings;
    private final Function<Payload, CompletableFuture<AppendResult>> log;
    private final Counter dropped;
    private final Deque<AuditRecord> tail = new ArrayDeque<>();
    private final Deque<AuditRecord> waiting = new ArrayDeque<>();
    private final java.util.concurrent.Future<?> flushTimer;
    private CompletableFuture<Void> currentAppend = CompletableFuture.completedFuture(null);
    private long lastSequence;

    /**
     * Creates an audit log and starts its flush timer.
     *
     * @param self this VM
     * @param settings the limits and the flush interval
     * @param log appends a record to the audit stream
     * @param timers the scheduler of the flush timer
     * @param meters the registry of the counter of dropped entries
     */
    public AuditLog(
            Member self,
            AuditSettings settings,
            Function<Payload, CompletableFuture<AppendResult>> log,
            ScheduledExecutorService timers,
            MeterRegistry meters) {
        this.self = self;
        this.settings = settings;
        this.log = log;
        this.dropped = Counter.builder("gooseberrypier.audit.dropped")
                .description("Audit entries that never reached the platform's log")
                .register(meters);
        this.flushTimer = timers.scheduleWithFixedDelay(
                this::flush, settings.flushMs(), settings.flushMs(), TimeUnit.MILLISECONDS);
    }

    /**
     * Adds an entry. If too many entries wait to be appended, the oldest of them is dropped and counted.
     *
     * @param entry the entry
     */
    public void add(AuditEntry entry) {
        LOG.info(
                "event=audit kind={} subject={} ticket={} detail={}",
                entry.kind(),
                LogText.quote(entry.subject()),
                entry.ticket(),
                LogText.quote(entry.detail()));
        synchronized (this) {
            AuditRecord record = new AuditRecord(++lastSequence, entry);
            addBounded(tail, record, settings.tailEntries());
            if (addBounded(waiting, record, settings.maxWaitingEntries())) {
                dropped.increment();
            }
        }
    }

    /**
     * Returns the latest entries that are kept in memory.
     *
     * @return a JSON object with the entries, oldest first
     */
    public String tail() {
        synchronized (this) {
            return AuditFormat.format(self, List.copyOf(tail));
        }
    }

    /**
     * Appends the oldest waiting entries in one batch, unless an append is in flight.
     *
     * @return completed when no append is in flight any more, also if it failed
     */
    public CompletableFuture<Void> flush() {
        synchronized (this) {
            if (currentAppend.isDone() && !waiting.isEmpty()) {
                List<AuditRecord> batch = nextBatch();
                currentAppend = log.apply(Payload.of(AuditFormat.format(self, batch)))
                        .thenAccept(result -> handleResult(batch, result));
            }
            return currentAppend;
        }
    }

    @Override
    public void close() {
        flushTimer.cancel(false);
    }

    private List<AuditRecord> nextBatch() {
        List<AuditRecord> batch = new ArrayList<>();
        for (AuditRecord r : waiting) {
            if (batch.size() == settings.maxBatchEntries()) {
                break;
            }
            batch.add(r);
        }
        return batch;
    }

    private void handleResult(List<AuditRecord> batch, AppendResult result) {
        if (result instanceof AppendResult.Uncertain u) {
            LOG.warn("event=audit_append_uncertain entries={} error={}", batch.size(), LogText.quote(u.detail()));
            return;
        }
        long last = batch.get(batch.size() - 1).sequence();
        synchronized (this) {
            while (!waiting.isEmpty() && waiting.peek().sequence() <= last) {
                waiting.poll();
            }
        }
    }

    private static boolean addBounded(Deque<AuditRecord> records, AuditRecord added, int max) {
        records.add(added);
        if (records.size() <= max) {
            return false;
        }
        records.poll();
        return true;
    }
}
