/** Tests of the ticket controller. */
package org.gooseberrypier.internal.ticket;
