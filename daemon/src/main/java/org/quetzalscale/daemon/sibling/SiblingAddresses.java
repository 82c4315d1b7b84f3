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
 * Addresses of the other instances. The address that an instance announces itself takes precedence
 * over the platform's list, which lags behind: when an instance has moved, a refused connection at
 * its old address doesn't mean that it has ended.
 */
final class SiblingAddresses {
    private static final Pattern ADDRESS = Pattern.compile("\\[?([0-9a-fA-F.:]+?)\\]?:(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_MENTIONED = 1_000;

    private final Map<InstanceId, String> introduced = new ConcurrentHashMap<>();
    private final Map<InstanceId, String> listed = new ConcurrentHashMap<>();
    private final Map<InstanceId, String> mentioned = new ConcurrentHashMap<>();

    /** The address to connect to, or empty if none is known. */
    Optional<String> find(InstanceId id) {
        String address = introduced.getOrDefault(id, listed.get(id));
        return Optional.ofNullable(address == null ? mentioned.get(id) : address);
    }

    /** Stores the address that an instance announced itself. */
    void introduce(InstanceId id, String address) {
        introduced.put(id, address);
    }

    /** Stores the address from the platform's list. */
    void list(InstanceId id, String address) {
        listed.put(id, address);
    }

    /** Stores the address that another instance reported. */
    void mention(InstanceId id, String address) {
        if (mentioned.size() < MAX_MENTIONED) {
            mentioned.put(id, address);
        }
    }

    /**
     * Drops an announced address that refused a connection; the next attempt uses the listed one.
     */
    void refused(InstanceId id, String address) {
        introduced.remove(id, address);
    }

    /** Removes all addresses of an instance that is gone. */
    void remove(InstanceId id) {
        introduced.remove(id);
        listed.remove(id);
        mentioned.remove(id);
    }

    /** Parses IP address and port; empty if the text has another form. */
    static Optional<InetSocketAddress> parse(String address) {
        Matcher matcher = ADDRESS.matcher(address);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            Logger.warn(
                    "\"{}\" is not a valid instance address: expected IP address and port",
                    address);
            return Optional.empty();
        }
        return Optional.of(
                new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))));
    }
}
