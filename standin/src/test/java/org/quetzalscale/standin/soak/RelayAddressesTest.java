package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.net.json.Json;

class RelayAddressesTest {
    private final RelayAddresses addresses = new RelayAddresses();

    @BeforeEach
    void addProxy() {
        addresses.add("node-1", 9_000);
    }

    /** The value after the replacement of a written row. */
    private String replaced(String table, String part, String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        String write =
                String.format(
                        "{'table':'%s','part':'%s','key':'%s','value':'%s'}",
                        table, part, key, encoded);
        String transaction = "{'writes':[" + write + "]}";
        JsonNode body = Json.read(transaction.replace('\'', '"'), JsonNode.class);
        addresses.replaceIn(body);
        byte[] bytes =
                Base64.getDecoder().decode(body.path("writes").get(0).path("value").asText());
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Nested
    class Registrations {
        /** Siblings that connect to each other directly cannot be cut from each other. */
        @Test
        void nameTheProxy() {
            assertThat(replaced("nodes", "fleet", "node-1", "127.0.0.1:15:0.75"))
                    .isEqualTo("127.0.0.1:9000:0.75");
        }

        @Test
        void ofNodesWithoutAProxyStay() {
            assertThat(replaced("nodes", "fleet", "node-2", "127.0.0.1:15:0.75"))
                    .isEqualTo("127.0.0.1:15:0.75");
        }
    }

    @Nested
    class OtherRows {
        @Test
        void stay() {
            assertThat(replaced("lease", "fleet", "node-1", "a:b:c")).isEqualTo("a:b:c");
            assertThat(replaced("nodes", "other", "node-1", "a:b:c")).isEqualTo("a:b:c");
        }
    }
}
