package org.gooseberrypier.server.audit;

import org.gooseberrypier.effect.AuditEntry;

/**
 * An audit entry with its sequence number, by which readers of the log remove duplicates.
 *
 * @param sequence the sequence number within this incarnation of the VM, from 1
 * @param entry the entry
 */
record AuditRecord(long sequence, AuditEntry entry) {}
