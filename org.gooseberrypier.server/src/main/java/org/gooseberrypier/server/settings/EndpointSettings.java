package org.gooseberrypier.server.settings;

/**
 * The settings of the connections to endpoints.
 *
 * @param connectTimeoutMs timeout of a connection attempt, in milliseconds
 * @param maxWaitingRequests maximum number of requests that wait for a connection to one endpoint
 * @param maxIdleMs how long an idle connection stays open, in milliseconds; older ones are closed, so that no task is
 *     sent on them
 * @param probeTimeoutMs timeout of a probe of an endpoint, in milliseconds
 * @param cancelTimeoutMs timeout of a cancellation request to an endpoint, in milliseconds
 * @param maxReplyBytes maximum size of the body of a reply, in bytes
 */
public record EndpointSettings(
        long connectTimeoutMs,
        int maxWaitingRequests,
        long maxIdleMs,
        long probeTimeoutMs,
        long cancelTimeoutMs,
        int maxReplyBytes) {}
