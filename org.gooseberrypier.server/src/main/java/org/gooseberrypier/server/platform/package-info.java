/** Client of the platform: reads and appends to its log streams, and polls its list of VMs. */
package org.gooseberrypier.server.platform;
