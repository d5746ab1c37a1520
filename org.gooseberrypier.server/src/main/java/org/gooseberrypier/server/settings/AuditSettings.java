package org.gooseberrypier.server.settings;

/**
 * The settings of the audit trail.
 *
 * @param tailEntries maximum number of entries that are kept in memory
 * @param flushMs interval at which waiting entries are appended to the platform's log, in milliseconds
 * @param maxBatchEntries maximum number of entries in one append
 * @param maxWaitingEntries maximum number of entries that wait to be appended; the oldest beyond it are dropped
 */
public record AuditSettings(int tailEntries, long flushMs, int maxBatchEntries, int maxWaitingEntries) {}
