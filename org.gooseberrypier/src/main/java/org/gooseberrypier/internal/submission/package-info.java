/** Submission handling: deduplication and replication of keyed jobs, request routing and delivery of answers. */
package org.gooseberrypier.internal.submission;
