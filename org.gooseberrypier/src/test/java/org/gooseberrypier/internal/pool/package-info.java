/** Tests of the controllers of the pool under the load patterns that they handle. */
package org.gooseberrypier.internal.pool;
