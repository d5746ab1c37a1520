package org.gooseberrypier.server.pool;

import java.util.concurrent.CompletableFuture;

import org.gooseberrypier.pool.LeaseRenewalResult;
import org.gooseberrypier.pool.PoolEffect;
import org.gooseberrypier.pool.StartResult;

/** Sends lease renewals, starts and stops to endpoints. Each call ends within a timeout, and the futures never fail. */
public interface EndpointClient {

    /**
     * Renews the leases of an endpoint and requests the list of its runs.
     *
     * @param request the endpoint and its leases
     * @return the result of the renewal
     */
    CompletableFuture<LeaseRenewalResult> renewLeases(PoolEffect.RenewLeases request);

    /**
     * Starts a run.
     *
     * @param start the run and its endpoint
     * @return the result of the start
     */
    CompletableFuture<StartResult> start(PoolEffect.Start start);

    /**
     * Stops a run.
     *
     * @param stop the run and its endpoint
     * @return {@code true} if it is certain that the endpoint no longer runs the run
     */
    CompletableFuture<Boolean> stop(PoolEffect.Stop stop);
}
