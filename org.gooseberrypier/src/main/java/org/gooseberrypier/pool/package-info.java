/** Runs jobs on a pool of leased endpoints, which one VM owns at a time; the state machine is deterministic, without I/O. */
package org.gooseberrypier.pool;
