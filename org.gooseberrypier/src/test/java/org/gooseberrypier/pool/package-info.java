/** Tests of the pool in virtual time. */
package org.gooseberrypier.pool;
