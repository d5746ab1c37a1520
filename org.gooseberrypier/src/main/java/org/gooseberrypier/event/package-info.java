/** Events: the inputs of the core, as values. */
package org.gooseberrypier.event;
