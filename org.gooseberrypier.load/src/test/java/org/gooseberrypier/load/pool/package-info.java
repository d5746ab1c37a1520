/** Tests of the experiments on scheduling policies of the pool. */
package org.gooseberrypier.load.pool;
