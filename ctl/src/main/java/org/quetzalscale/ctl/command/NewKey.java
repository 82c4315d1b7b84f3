package org.quetzalscale.ctl.command;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * A key that no server knows yet.
 *
 * @param text what callers present, of the form {@code qk_<name>_<secret>}
 * @param secretHash SHA-256 of the secret's random bits, in hexadecimal digits
 */
record NewKey(String text, String secretHash) {
    private static final int SECRET_BYTES = 32;

    /** A key with a secret of 256 random bits. */
    static NewKey random(String name) {
        byte[] bits = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(bits);
        return new NewKey("qk_" + name + "_" + HexFormat.of().formatHex(bits), hash(bits));
    }

    private static String hash(byte[] bits) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(bits));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
