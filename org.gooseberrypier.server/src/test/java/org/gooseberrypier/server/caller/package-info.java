/** Tests of the HTTP interface for callers. */
package org.gooseberrypier.server.caller;
