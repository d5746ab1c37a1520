package org.gooseberrypier.server.pool;

import java.util.concurrent.CompletableFuture;

import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.StartResult;

/** Speaks with endpoints; every call ends within a bound, and no future fails. */
public interface EndpointClient {

    /**
     * Renews the leases of an endpoint and asks what runs there.
     *
     * @param hold the call
     * @return what came of it
     */
    CompletableFuture<LeaseRenewalResult> renewLeases(PoolEffect.RenewLeases hold);

    /**
     * Starts a run.
     *
     * @param start the order
     * @return what came of it
     */
    CompletableFuture<StartResult> start(PoolEffect.Start start);

    /**
     * Stops a run.
     *
     * @param stop the order
     * @return whether the endpoint will not run the run any more
     */
    CompletableFuture<Boolean> stop(PoolEffect.Stop stop);
}
