/** Fixtures for tests that use real sockets. */
package org.gooseberrypier.server.testing;
