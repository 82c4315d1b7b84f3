package org.quetzalscale.daemon.caller;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The hash that tells whether two requests with one idempotency key are the same. */
final class Fingerprint {
    private Fingerprint() {}

    /** SHA-256 of queue, method, path with query, and body, as hexadecimal digits. */
    static String of(CallerRequest request, ByteBuf body) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
        update(digest, request.queue().value());
        update(digest, request.method().name());
        update(digest, request.targetUri());
        for (ByteBuffer part : body.nioBuffers()) {
            digest.update(part);
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    private static void update(MessageDigest digest, String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }
}
