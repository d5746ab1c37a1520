/** Logging support: quoting of values in log lines, and a bounded asynchronous appender. */
package org.gooseberrypier.server.log;
