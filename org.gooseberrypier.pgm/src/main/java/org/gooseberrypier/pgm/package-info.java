/** The command line. */
package org.gooseberrypier.pgm;
