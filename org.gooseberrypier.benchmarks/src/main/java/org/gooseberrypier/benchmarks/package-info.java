/** Microbenchmarks of the core. */
package org.gooseberrypier.benchmarks;
