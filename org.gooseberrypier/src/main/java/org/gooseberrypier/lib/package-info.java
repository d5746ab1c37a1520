/** Identifiers and values that all parts of the system share. */
package org.gooseberrypier.lib;
