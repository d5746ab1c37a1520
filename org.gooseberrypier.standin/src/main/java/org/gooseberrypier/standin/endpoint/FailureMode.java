package org.gooseberrypier.standin.endpoint;

/** Failure mode of a stand-in endpoint. */
public enum FailureMode {
    /** Runs each task and sends its result. */
    NONE,
    /** Starts each task and answers immediately that it failed. */
    FAIL,
    /** Runs each task for ten times its duration. */
    STRAGGLE,
    /** Starts each task and never answers; its connection stays open. */
    SILENT,
    /** Starts no task and answers each with "not run". */
    REFUSE
}
