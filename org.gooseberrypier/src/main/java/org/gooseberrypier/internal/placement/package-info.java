/** Queues tasks, places them on endpoints and monitors the health of endpoints. */
package org.gooseberrypier.internal.placement;
