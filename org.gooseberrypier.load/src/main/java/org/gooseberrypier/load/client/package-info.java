/** A client for callers: it creates idempotency keys, names the home zone and resubmits jobs after a timeout. */
package org.gooseberrypier.load.client;
