package org.gooseberrypier.http;

import java.util.Map;

/**
 * A request to be sent by {@link HttpClient}.
 *
 * @param method the HTTP method in upper case
 * @param target the request target, which includes the query
 * @param headers the header fields; {@code Host} is added if absent, {@code Content-Length} is always set
 * @param body the body
 * @param timeoutMs the timeout from the call of {@link HttpClient#send} to the complete reply, in milliseconds
 */
public record HttpRequestSpec(String method, String target, Map<String, String> headers, byte[] body, long timeoutMs) {

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Creates a GET request without header fields and body.
     *
     * @param target the request target, which includes the query
     * @param timeoutMs the timeout for the complete reply, in milliseconds
     * @return the request
     */
    public static HttpRequestSpec get(String target, long timeoutMs) {
        return new HttpRequestSpec("GET", target, Map.of(), NO_BODY, timeoutMs);
    }
}
