package org.gooseberrypier.internal.submission;

/**
 * Switches for the guards against starting a task twice; tests disable a guard to verify that they detect the
 * violations that it prevents.
 *
 * @param backupRecord whether a job starts only after the backup has stored its record
 * @param seal whether an old holder seals a shard below the new view before it returns the state of the shard
 * @param keyAge whether keys submitted before the loss of a shard's records are refused
 */
public record SafetyGuards(boolean backupRecord, boolean seal, boolean keyAge) {

    /** All guards enabled, as in production. */
    public static final SafetyGuards ALL = new SafetyGuards(true, true, true);
}
