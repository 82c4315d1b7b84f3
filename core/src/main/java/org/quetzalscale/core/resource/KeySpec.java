package org.quetzalscale.core.resource;

import java.util.regex.Pattern;
import org.quetzalscale.core.id.TeamId;

/**
 * A key of a team.
 *
 * @param secretHash SHA-256 of the secret, as 64 hexadecimal digits in lower case
 * @param withdrawn whether the key no longer works
 */
public record KeySpec(TeamId team, String secretHash, boolean withdrawn) implements Spec {
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");

    /** Checks the form; throws INVALID_FIELD. */
    public KeySpec {
        Fields.requirePresent("spec.team", team);
        Fields.requirePresent("spec.secretHash", secretHash);
        if (!SHA256_HEX.matcher(secretHash).matches()) {
            // The value is left out of the message: it could be a secret given by mistake.
            throw Fields.invalid("spec.secretHash", "(not shown)", "expected 64 digits 0-9a-f");
        }
    }

    @Override
    public Kind kind() {
        return Kind.KEYS;
    }
}
