/** Compares rules of the pool under emulated load with what perfect knowledge would earn. */
package org.gooseberrypier.load.pool;
