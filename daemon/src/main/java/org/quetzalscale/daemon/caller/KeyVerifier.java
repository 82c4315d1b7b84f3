package org.quetzalscale.daemon.caller;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.KeyId;
import org.quetzalscale.core.resource.KeySecret;
import org.quetzalscale.core.resource.KeySpec;

/** Verifies the keys of callers. Error messages never contain any part of a secret. */
final class KeyVerifier {
    private static final Pattern BEARER = Pattern.compile("[Bb]earer +([!-~]{1,512})");

    private KeyVerifier() {}

    /**
     * Returns the verified key of an Authorization header.
     *
     * @param open whether the queue accepts requests without a key; a header of another form then
     *     counts as no key
     * @throws QuetzalscaleException KEY_MISSING, KEY_UNKNOWN or KEY_WITHDRAWN
     */
    static Optional<VerifiedKey> verify(
            ConfigSnapshot snapshot, String authorization, boolean open) {
        Optional<KeySecret> presented = secret(authorization);
        if (presented.isEmpty()) {
            if (open) {
                return Optional.empty();
            }
            throw authorization == null
                    ? new QuetzalscaleException(
                            ErrorKind.KEY_MISSING, "the request has no Authorization header")
                    : unknown();
        }
        KeyId id = presented.get().name();
        KeySpec spec = snapshot.key(id).orElseThrow(KeyVerifier::unknown);
        if (!presented.get().matches(spec)) {
            throw unknown();
        }
        VerifiedKey key = new VerifiedKey(id, spec.team(), spec.secretHash());
        recheck(snapshot, key);
        return Optional.of(key);
    }

    /**
     * Checks that a key that was verified earlier is still valid.
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

    private static Optional<KeySecret> secret(String authorization) {
        Matcher matcher = BEARER.matcher(authorization == null ? "" : authorization);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        Optional<KeySecret> secret = KeySecret.parse(matcher.group(1));
        if (secret.isEmpty() && matcher.group(1).startsWith("qk_")) {
            // Has the prefix of a key, so an open queue must not treat the request as one without a
            // key.
            throw unknown();
        }
        return secret;
    }

    private static QuetzalscaleException unknown() {
        return new QuetzalscaleException(
                ErrorKind.KEY_UNKNOWN, "the key in the Authorization header is not known");
    }
}
