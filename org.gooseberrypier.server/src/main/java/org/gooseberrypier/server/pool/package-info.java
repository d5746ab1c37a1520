/** A VM that runs jobs on a pool of leased endpoints: the links to other VMs, the followed store, and the wiring. */
package org.gooseberrypier.server.pool;
