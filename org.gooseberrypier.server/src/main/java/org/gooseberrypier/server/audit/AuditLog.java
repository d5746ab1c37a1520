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
 * Keeps the audit trail: each entry is logged, kept in a bounded tail, and appended to the platform's log in batches.
 *
 * <p>There is at most one append at a time and one for each flush interval. A batch whose append may have failed is
 * appended again, so that the log can hold an entry twice; the VM, its incarnation and the entry's number tell.
 */
public final class AuditLog implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(AuditLog.class);

    private final Member self;
    private final AuditSettings settings;
    private final Function<Payload, CompletableFuture<AppendResult>> log;
    private final Counter dropped;
    private final Deque<AuditRecord> tail = new ArrayDeque<>();
    private final Deque<AuditRecord> waiting = new ArrayDeque<>();
    private final java.util.concurrent.Future<?> flusher;
    private CompletableFuture<Void> appending = CompletableFuture.completedFuture(null);
    private long lastSequence;

    /**
     * Creates the edge.
     *
     * @param self this VM
     * @param settings the bounds
     * @param log appends a record to the audit stream
     * @param timers when to flush
     * @param meters where lost entries are counted
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
        this.flusher = timers.scheduleWithFixedDelay(
                this::flush, settings.flushMs(), settings.flushMs(), TimeUnit.MILLISECONDS);
    }

    /**
     * Takes an entry.
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
     * Returns the tail.
     *
     * @return a JSON object with the entries, oldest first
     */
    public String tail() {
        synchronized (this) {
            return AuditFormat.format(self, List.copyOf(tail));
        }
    }

    /**
     * Appends what is waiting, in one batch.
     *
     * @return done when no append is under way any more, whatever became of it
     */
    public CompletableFuture<Void> flush() {
        synchronized (this) {
            if (appending.isDone() && !waiting.isEmpty()) {
                List<AuditRecord> batch = firstWaiting();
                appending = log.apply(Payload.of(AuditFormat.format(self, batch)))
                        .thenAccept(result -> settle(batch, result));
            }
            return appending;
        }
    }

    @Override
    public void close() {
        flusher.cancel(false);
    }

    private List<AuditRecord> firstWaiting() {
        List<AuditRecord> batch = new ArrayList<>();
        for (AuditRecord r : waiting) {
            if (batch.size() == settings.maxBatchEntries()) {
                break;
            }
            batch.add(r);
        }
        return batch;
    }

    private void settle(List<AuditRecord> batch, AppendResult result) {
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
