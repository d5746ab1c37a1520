package org.gooseberrypier.http;

import java.util.Map;

/**
 * A request of a client.
 *
 * @param method the method in upper case
 * @param target the request target
 * @param headers the header fields
 * @param body the body
 * @param timeoutMs how long to wait for the whole reply, in milliseconds
 */
public record HttpRequestSpec(String method, String target, Map<String, String> headers, byte[] body, long timeoutMs) {

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Returns a GET request.
     *
     * @param path the request target
     * @param timeoutMs how long to wait for the whole reply, in milliseconds
     * @return the request
     */
    public static HttpRequestSpec get(String path, long timeoutMs) {
        return new HttpRequestSpec("GET", path, Map.of(), NO_BODY, timeoutMs);
    }
}
