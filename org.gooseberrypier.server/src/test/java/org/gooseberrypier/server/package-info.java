/** Tests of complete entry VMs over loopback sockets. */
package org.gooseberrypier.server;
