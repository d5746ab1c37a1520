/** Tests of the streams between VMs and of the message codecs. */
package org.gooseberrypier.server.peer;
