/** Tests of the experiments on the rules of the pool. */
package org.gooseberrypier.load.pool;
