package org.gooseberrypier.internal.submission;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.UUID;

import org.apache.commons.codec.digest.DigestUtils;
import org.gooseberrypier.internal.board.ShardHolders;
import org.gooseberrypier.lib.IdempotencyKey;
import org.gooseberrypier.lib.JobId;
import org.gooseberrypier.lib.Payload;
import org.gooseberrypier.lib.Submission;
import org.gooseberrypier.lib.TaskSpec;

/** Derives the job identifier, shard, submission time and digest of a submission with an idempotency key. */
final class KeyedSubmission {

    private static final int UUID_TEXT_CHARS = 36;
    private static final int UUID_VERSION_TIME_ORDERED = 7;
    private static final int UUID_TIMESTAMP_SHIFT_BITS = 16;

    private KeyedSubmission() {}

    static JobId jobId(Submission submission) {
        return JobId.keyed(submission.team(), submission.key().orElseThrow().value());
    }

    static int shard(Submission submission) {
        return ShardHolders.shardOf(jobId(submission));
    }

    /**
     * Returns the time at which a key was first submitted: the timestamp of a UUIDv7 key, else the time that the caller
     * has sent with the key.
     *
     * @param key the key
     * @return milliseconds since the epoch, empty if neither is present
     */
    static Optional<Long> submittedAtMs(IdempotencyKey key) {
        Optional<Long> uuidTime = timeOfUuid(key.value());
        return uuidTime.isPresent() ? uuidTime : key.submittedAtMs();
    }

    private static Optional<Long> timeOfUuid(String key) {
        if (key.length() != UUID_TEXT_CHARS) {
            return Optional.empty();
        }
        try {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == UUID_VERSION_TIME_ORDERED
                    ? Optional.of(uuid.getMostSignificantBits() >>> UUID_TIMESTAMP_SHIFT_BITS)
                    : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the SHA-256 digest that distinguishes a resubmission from a different submission with the same key.
     *
     * @param s the submission
     * @return the digest
     */
    static Payload digest(Submission s) {
        MessageDigest sha = DigestUtils.getSha256Digest();
        add(sha, s.team().name());
        add(sha, s.work().name());
        add(sha, Boolean.toString(s.repeatable()));
        for (TaskSpec t : s.tasks()) {
            add(sha, t.id());
            add(sha, t.body().bytes());
            add(sha, t.declaredMs() + " " + t.resources());
        }
        return Payload.wrap(sha.digest());
    }

    private static void add(MessageDigest sha, String text) {
        add(sha, text.getBytes(StandardCharsets.UTF_8));
    }

    private static void add(MessageDigest sha, byte[] bytes) {
        sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        sha.update(bytes);
    }
}
