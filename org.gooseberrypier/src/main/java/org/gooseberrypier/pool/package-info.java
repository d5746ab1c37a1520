/** Runs jobs on a pool of leased endpoints that one VM owns at a time; the rules are deterministic and do no I/O. */
package org.gooseberrypier.pool;
