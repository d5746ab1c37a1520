/** Streams of the platform's log and the records kept in them. */
package org.gooseberrypier.log;
