/** Clusters of entry VMs, endpoints and the platform in one process, over loopback sockets. */
package org.gooseberrypier.load.cluster;
