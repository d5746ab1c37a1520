/**
 * Runs workloads against clusters: scenarios, comparisons of placement policies, the demonstration, and their reports.
 */
package org.gooseberrypier.load.run;
