/** HTTP/1.1 server and client built on the Netty codec. */
package org.gooseberrypier.http;
