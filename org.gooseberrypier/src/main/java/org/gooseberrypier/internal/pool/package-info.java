/** Controllers of the pool and the state that they share. */
package org.gooseberrypier.internal.pool;
