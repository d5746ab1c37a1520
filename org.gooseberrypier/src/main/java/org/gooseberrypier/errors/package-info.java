/** Exceptions of the library. */
package org.gooseberrypier.errors;
