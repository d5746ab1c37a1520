/**
 * Experiments that compare scheduling policies of the pool under emulated load with what perfect knowledge would earn.
 */
package org.gooseberrypier.load.pool;
