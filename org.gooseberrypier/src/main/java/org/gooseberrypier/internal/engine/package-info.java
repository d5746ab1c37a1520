/** The single-threaded engine that dispatches events and timers to the controllers. */
package org.gooseberrypier.internal.engine;
