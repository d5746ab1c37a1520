/** HTTP client that sends tasks, cancellations and probes to endpoints. */
package org.gooseberrypier.server.endpoint;
