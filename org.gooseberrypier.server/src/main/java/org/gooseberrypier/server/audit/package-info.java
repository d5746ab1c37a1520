/** The audit trail: the latest entries in memory, and batches of entries in the platform's log. */
package org.gooseberrypier.server.audit;
