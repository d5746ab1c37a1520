/** Exceptions of the server. */
package org.gooseberrypier.server.errors;
