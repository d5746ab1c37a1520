/** The callers' HTTP interface. */
package org.gooseberrypier.server.caller;
