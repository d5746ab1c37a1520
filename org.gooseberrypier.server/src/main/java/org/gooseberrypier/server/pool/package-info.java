/** The runtime of a VM that runs jobs on a pool of leased endpoints: links between VMs, store polling and metrics. */
package org.gooseberrypier.server.pool;
