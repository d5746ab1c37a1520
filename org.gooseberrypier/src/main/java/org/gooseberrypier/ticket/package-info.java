/** Tickets, the numbered configuration changes that operators publish: their data model, codecs, validation and replay. */
package org.gooseberrypier.ticket;
