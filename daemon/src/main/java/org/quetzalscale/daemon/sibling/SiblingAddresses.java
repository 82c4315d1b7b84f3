package org.quetzalscale.daemon.sibling;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalscale.core.id.InstanceId;
import org.tinylog.Logger;

/**
 * Addresses of the other instances. What an instance says of itself precedes the platform's list,
 * which lags: a refusal at the former address of an instance that moved is no sign of its end.
 */
final class SiblingAddresses {
    private static final Pattern FORM = Pattern.compile("\\[?([0-9a-fA-F.:]+?)\\]?:(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_MENTIONED = 1_000;

    private final Map<InstanceId, String> introduced = new ConcurrentHashMap<>();
    private final Map<InstanceId, String> listed = new ConcurrentHashMap<>();
    private final Map<InstanceId, String> mentioned = new ConcurrentHashMap<>();

    /** The address at which to reach the instance. */
    Optional<String> find(InstanceId id) {
        String address = introduced.getOrDefault(id, listed.get(id));
        return Optional.ofNullable(address == null ? mentioned.get(id) : address);
    }

    /** Takes what an instance says of itself. */
    void introduce(InstanceId id, String address) {
        introduced.put(id, address);
    }

    /** Takes what the platform's list says. */
    void list(InstanceId id, String address) {
        listed.put(id, address);
    }

    /** Takes what another instance says. */
    void mention(InstanceId id, String address) {
        if (mentioned.size() < MAX_MENTIONED) {
            mentioned.put(id, address);
        }
    }

    /** Takes that the address refused a connection, so that the next attempt uses the list's. */
    void refused(InstanceId id, String address) {
        introduced.remove(id, address);
    }

    /** Forgets an instance that is gone. */
    void remove(InstanceId id) {
        introduced.remove(id);
        listed.remove(id);
        mentioned.remove(id);
    }

    /** Reads IP number and port; empty if the text has another form. */
    static Optional<InetSocketAddress> parse(String address) {
        Matcher matcher = FORM.matcher(address);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            Logger.warn("\"{}\" is not the address of an instance", address);
            return Optional.empty();
        }
        return Optional.of(
                new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))));
    }
}
