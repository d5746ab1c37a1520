/** Stand-in for an endpoint that runs tasks. */
package org.gooseberrypier.standin.endpoint;
