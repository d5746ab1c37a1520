/** Tests of the configuration of logging. */
package org.gooseberrypier.server.log;
