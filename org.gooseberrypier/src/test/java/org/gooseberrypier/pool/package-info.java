/** Tests of the pool under virtual time. */
package org.gooseberrypier.pool;
