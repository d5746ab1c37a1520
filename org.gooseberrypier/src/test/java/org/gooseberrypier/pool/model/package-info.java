/** An explicit model of the rules by which at most one run of a task is at work, and its exhaustive exploration. */
package org.gooseberrypier.pool.model;
