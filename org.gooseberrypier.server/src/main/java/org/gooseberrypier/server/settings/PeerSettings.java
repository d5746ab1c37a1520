package org.gooseberrypier.server.settings;

/**
 * The settings of the streams between VMs.
 *
 * @param connectTimeoutMs timeout of a connection attempt, in milliseconds
 * @param pingMs interval of the pings on a stream that sends messages, in milliseconds
 * @param silentTimeoutMs time after which a stream with an unanswered ping is replaced, in milliseconds
 * @param maxBackoffMs maximum delay between two connection attempts, in milliseconds
 * @param maxQueuedMessages maximum number of messages queued for one peer; further messages are dropped
 * @param maxQueuedBytes maximum total size of the messages queued for one peer, in bytes; further messages are dropped
 * @param maxMessageBytes maximum size of a received message, in bytes
 */
public record PeerSettings(
        int connectTimeoutMs,
        long pingMs,
        long silentTimeoutMs,
        long maxBackoffMs,
        int maxQueuedMessages,
        long maxQueuedBytes,
        int maxMessageBytes) {}
