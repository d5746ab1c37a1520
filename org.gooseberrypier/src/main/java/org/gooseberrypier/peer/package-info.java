/** Messages between the VMs of the system, as values. */
package org.gooseberrypier.peer;
