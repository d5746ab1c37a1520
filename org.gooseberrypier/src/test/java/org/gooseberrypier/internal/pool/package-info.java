/** Replays of the loads that the rules of the pool answer. */
package org.gooseberrypier.internal.pool;
