/** The HTTP interface for operators. */
package org.gooseberrypier.server.operator;
