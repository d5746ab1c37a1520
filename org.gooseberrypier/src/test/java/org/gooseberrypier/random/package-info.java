/** Seeded random runs of several cores on one thread, with fakes at their interfaces and checks outside the cores. */
package org.gooseberrypier.random;
