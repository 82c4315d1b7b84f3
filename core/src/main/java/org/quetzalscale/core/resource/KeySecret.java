package org.quetzalscale.core.resource;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.KeyId;

/**
 * The secret of a key in the form that callers present: {@code qk_<name>_<secret>}, where the last
 * part is 256 random bits as 64 hexadecimal digits in lower case.
 */
public final class KeySecret {
    /** Size of the random part in bytes. */
    public static final int RANDOM_BYTES = 32;

    private static final Pattern FORM = Pattern.compile("qk_([a-z0-9.-]{1,63})_([0-9a-f]{64})");

    private final KeyId name;
    private final byte[] random;

    private KeySecret(KeyId name, byte[] random) {
        this.name = name;
        this.random = random;
    }

    /**
     * A secret of the given random bytes.
     *
     * @throws IllegalArgumentException if there are not {@link #RANDOM_BYTES}
     */
    public static KeySecret of(KeyId name, byte[] random) {
        if (random.length != RANDOM_BYTES) {
            throw new IllegalArgumentException(random.length + " random bytes");
        }
        return new KeySecret(name, random.clone());
    }

    /** The secret that a caller presented, or empty if the text has another form. */
    public static Optional<KeySecret> parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        try {
            KeyId name = new KeyId(matcher.group(1));
            return Optional.of(new KeySecret(name, HexFormat.of().parseHex(matcher.group(2))));
        } catch (QuetzalscaleException e) {
            return Optional.empty();
        }
    }

    /** The name of the key. */
    public KeyId name() {
        return name;
    }

    /** The form that the caller presents; never logged or stored. */
    public String reveal() {
        return "qk_" + name + "_" + HexFormat.of().formatHex(random);
    }

    /** SHA-256 of the random bytes, in the form of {@link KeySpec#secretHash}. */
    public String hash() {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(random));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }

    /** Returns whether this is the secret of the key; compares in constant time. */
    public boolean matches(KeySpec key) {
        return MessageDigest.isEqual(
                hash().getBytes(StandardCharsets.US_ASCII),
                key.secretHash().getBytes(StandardCharsets.US_ASCII));
    }

    /** The name only. */
    @Override
    public String toString() {
        return "qk_" + name + "_(not shown)";
    }
}
