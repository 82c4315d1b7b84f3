package org.quetzalscale.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.KeyId;
import org.quetzalscale.core.resource.KeySpec;

/** Verifies the keys that callers present. No message contains any part of a secret. */
final class KeyVerifier {
    private static final Pattern BEARER_KEY =
            Pattern.compile("[Bb]earer +qk_([a-z0-9.-]{1,63})_([!-~]{1,256})");

    private KeyVerifier() {}

    /**
     * The key in an Authorization header.
     *
     * @param open whether the queue takes work without a key; an Authorization of another form is
     *     then no key
     * @throws QuetzalscaleException KEY_MISSING, KEY_UNKNOWN or KEY_WITHDRAWN
     */
    static Optional<VerifiedKey> verify(
            ConfigSnapshot snapshot, String authorization, boolean open) {
        Matcher matcher = BEARER_KEY.matcher(authorization == null ? "" : authorization);
        if (!matcher.matches()) {
            if (open) {
                return Optional.empty();
            }
            throw authorization == null
                    ? new QuetzalscaleException(
                            ErrorKind.KEY_MISSING, "the request has no Authorization header")
                    : unknown();
        }
        byte[] presented = sha256(matcher.group(2));
        Optional<KeyId> id = keyId(matcher.group(1));
        Optional<KeySpec> spec = id.flatMap(snapshot::key);
        byte[] declared =
                spec.map(key -> HexFormat.of().parseHex(key.secretHash()))
                        .orElseGet(() -> new byte[presented.length]);
        if (!MessageDigest.isEqual(presented, declared) || spec.isEmpty()) {
            throw unknown();
        }
        VerifiedKey key = new VerifiedKey(id.get(), spec.get().team(), spec.get().secretHash());
        recheck(snapshot, key);
        return Optional.of(key);
    }

    /**
     * Checks that a key verified before is still good.
     *
     * @throws QuetzalscaleException KEY_UNKNOWN or KEY_WITHDRAWN
     */
    static void recheck(ConfigSnapshot snapshot, VerifiedKey key) {
        KeySpec spec = snapshot.key(key.id()).orElseThrow(KeyVerifier::unknown);
        if (!spec.secretHash().equals(key.secretHash())
                || !spec.team().equals(key.team())
                || snapshot.team(key.team()).isEmpty()) {
            throw unknown();
        }
        if (spec.withdrawn()) {
            throw new QuetzalscaleException(
                    ErrorKind.KEY_WITHDRAWN, "key \"" + key.id() + "\" was withdrawn");
        }
    }

    private static Optional<KeyId> keyId(String name) {
        try {
            return Optional.of(new KeyId(name));
        } catch (QuetzalscaleException e) {
            return Optional.empty();
        }
    }

    private static byte[] sha256(String secret) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(secret.getBytes(StandardCharsets.US_ASCII));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private static QuetzalscaleException unknown() {
        return new QuetzalscaleException(
                ErrorKind.KEY_UNKNOWN, "the key in the Authorization header is not known");
    }
}
