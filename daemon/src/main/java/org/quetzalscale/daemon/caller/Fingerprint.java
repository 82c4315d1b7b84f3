package org.quetzalscale.daemon.caller;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Detects the reuse of an idempotency key for a different request: a SHA-256 hash of queue, method,
 * path with query, and body. The body is hashed as it arrives, because hashing a large body at once
 * would block the event loop.
 */
final class Fingerprint {
    private final MessageDigest digest;

    Fingerprint(CallerRequest request) {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
        add(request.queue().value());
        add(request.method().name());
        add(request.targetUri());
    }

    /** Adds a part of the body. */
    void add(ByteBuf part) {
        for (ByteBuffer bytes : part.nioBuffers()) {
            digest.update(bytes);
        }
    }

    /** Returns the hash in hexadecimal; the object must not be used afterwards. */
    String finish() {
        return HexFormat.of().formatHex(digest.digest());
    }

    /** Adds a length-prefixed string, so that different fields never give the same bytes. */
    private void add(String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }
}
