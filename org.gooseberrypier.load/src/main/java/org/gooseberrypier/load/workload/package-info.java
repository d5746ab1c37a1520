/** Generation of job arrivals from a seed. */
package org.gooseberrypier.load.workload;
