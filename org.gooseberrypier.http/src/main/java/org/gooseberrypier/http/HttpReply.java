package org.gooseberrypier.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An HTTP response, sent by a server or received by a client.
 *
 * @param status the HTTP status code
 * @param headers the header fields, with case-insensitive names
 * @param body the body
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {

    /** Copies the header fields into a map with case-insensitive names. */
    public HttpReply {
        Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        copy.putAll(headers);
        headers = copy;
    }

    /**
     * Creates a reply with a text body, encoded as UTF-8.
     *
     * @param status the HTTP status code
     * @param contentType the media type
     * @param text the body
     * @return the reply
     */
    public static HttpReply text(int status, String contentType, String text) {
        return new HttpReply(status, Map.of("content-type", contentType), text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a header field.
     *
     * @param name the name, case-insensitive
     * @return its value, empty if the reply does not contain the field
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Decodes the body as UTF-8.
     *
     * @return the text
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
