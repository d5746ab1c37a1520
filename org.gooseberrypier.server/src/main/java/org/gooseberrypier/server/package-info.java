/** The process of an entry VM: the core, with servers and clients that connect it to its environment. */
package org.gooseberrypier.server;
