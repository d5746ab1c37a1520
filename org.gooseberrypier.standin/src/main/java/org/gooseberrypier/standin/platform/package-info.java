/** Stand-in platform: an append-only log with offsets, and a list of VMs that shows changes after a lag. */
package org.gooseberrypier.standin.platform;
