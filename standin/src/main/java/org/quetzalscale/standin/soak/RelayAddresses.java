package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Replaces the relay addresses that nodes register in the store by those of their proxies, so that
 * siblings connect to each other through them.
 */
final class RelayAddresses {
    private static final String TABLE = "nodes";
    private static final String PART = "fleet";

    /** Position of the port in a row ADDRESS:PORT:CORES. */
    private static final int PORT_FIELD = 1;

    private final Map<String, Integer> proxyPorts = new ConcurrentHashMap<>();

    /** Adds the proxy of a node. */
    void add(String node, int proxyPort) {
        proxyPorts.put(node, proxyPort);
    }

    /** Replaces the addresses in the rows that a transaction writes. */
    void replaceIn(JsonNode transaction) {
        for (JsonNode write : transaction.path("writes")) {
            StoreRows.Place place = StoreRows.Place.of(write);
            Integer proxyPort = proxyPorts.get(place.key());
            if (place.table().equals(TABLE) && place.part().equals(PART) && proxyPort != null) {
                replace((ObjectNode) write, proxyPort);
            }
        }
    }

    private static void replace(ObjectNode write, int proxyPort) {
        byte[] value = Base64.getDecoder().decode(write.path("value").asText());
        String[] fields = new String(value, StandardCharsets.UTF_8).split(":");
        fields[PORT_FIELD] = Integer.toString(proxyPort);
        byte[] replaced = String.join(":", fields).getBytes(StandardCharsets.UTF_8);
        write.put("value", Base64.getEncoder().encodeToString(replaced));
    }
}
