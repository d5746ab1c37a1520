/** The controllers of the pool and the board that they share. */
package org.gooseberrypier.internal.pool;
