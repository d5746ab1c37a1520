/** Tests of the streams between the VMs of a pool, and of how effects of the core are performed. */
package org.gooseberrypier.server.pool;
