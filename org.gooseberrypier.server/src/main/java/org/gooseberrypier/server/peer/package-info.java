/** Messages between VMs over gRPC streams, and their Protocol Buffers encoding. */
package org.gooseberrypier.server.peer;
