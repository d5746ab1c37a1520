/** Determines which ticket is in force, distributes it to peers and writes checkpoints. */
package org.gooseberrypier.internal.ticket;
