/** Tests of tickets, their validation and their replay. */
package org.gooseberrypier.ticket;
