package org.quetzalscale.daemon.caller;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The hash that tells whether two requests with one idempotency key are the same: SHA-256 of queue,
 * method, path with query, and body. The body is added as it arrives, because hashing all of a
 * large one at once would hold up the event loop.
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

    /** The hash as hexadecimal digits; ends the use of this object. */
    String finish() {
        return HexFormat.of().formatHex(digest.digest());
    }

    /** Adds a string after its length, so that no two requests give the same bytes. */
    private void add(String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }
}
