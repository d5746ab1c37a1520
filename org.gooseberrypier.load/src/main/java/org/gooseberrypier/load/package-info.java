/** The load and experiment tool: clusters on loopback sockets, generated arrivals, checks and reports. */
package org.gooseberrypier.load;
