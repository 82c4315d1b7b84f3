package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;
import org.quetzalscale.net.json.Json;

class StoreRowsTest {
    private final Scheduler scheduler = new Scheduler("test");
    private final List<StoreRows.Place> written = new ArrayList<>();
    private final StoreRows rows = new StoreRows(scheduler, written::add);

    @AfterEach
    void stop() {
        scheduler.stop();
    }

    private static HttpCall call(String... parameters) {
        Map<String, List<String>> query = new HashMap<>();
        for (int i = 0; i < parameters.length; i += 2) {
            query.put(parameters[i], List.of(parameters[i + 1]));
        }
        return new HttpCall(HttpMethod.GET, "/", query, Map.of(), new byte[0]);
    }

    private HttpReply transact(String text) {
        return rows.transact(Json.read(text.replace('\'', '"'), JsonNode.class));
    }

    private static JsonNode body(HttpReply reply) {
        return Json.readTree(reply.body());
    }

    @Nested
    class Transactions {
        private static final String WRITE =
                "{'expectedRev':[{'table':'t','part':'p','key':'a','ver':0}],"
                        + "'writes':[{'table':'t','part':'p','key':'a','value':'eA=='}]}";

        @Test
        void applyWhenTheConditionsHold() {
            assertThat(transact(WRITE).status()).isEqualTo(200);
            assertThat(rows.text(new StoreRows.Place("t", "p", "a"))).isEqualTo("x");
            assertThat(written).containsExactly(new StoreRows.Place("t", "p", "a"));
        }

        @Test
        void applyNothingWhenAConditionDoesNotHold() {
            transact(WRITE);
            HttpReply second = transact(WRITE);
            assertThat(second.status()).isEqualTo(412);
            assertThat(body(second).path("rows").path(0).path("ver").longValue()).isEqualTo(1);
            assertThat(written).hasSize(1);
        }

        @Test
        void areRefusedInTablesOfThePlatform() {
            HttpReply reply =
                    transact("{'writes':[{'table':'op','part':'','key':'a','value':'eA=='}]}");
            assertThat(reply.status()).isEqualTo(403);
        }

        @Test
        void areRefusedOverSeveralPartsUnlessDeclared() {
            String writes =
                    "'writes':[{'table':'t','part':'p','key':'a','value':'eA=='},"
                            + "{'table':'t','part':'q','key':'a','value':'eA=='}]";
            assertThat(transact("{" + writes + "}").status()).isEqualTo(400);
            assertThat(transact("{'across':true," + writes + "}").status()).isEqualTo(200);
        }
    }

    @Nested
    class Ranges {
        @Test
        void listKeysInOrderWithoutTheEndAndTellOfMore() {
            List.of("c", "a", "d", "b").forEach(key -> rows.put("t", key, "x"));
            rows.remove("t", "a");
            JsonNode found =
                    body(rows.range(call("table", "t", "from", "a", "target", "d", "limit", "1")));
            assertThat(found.path("rows")).hasSize(1);
            assertThat(found.path("rows").path(0).path("key").asText()).isEqualTo("b");
            assertThat(found.path("hasMore").booleanValue()).isTrue();
            JsonNode all = body(rows.range(call("table", "t", "from", "b", "target", "d")));
            assertThat(all.path("rows")).hasSize(2);
            assertThat(all.path("hasMore").booleanValue()).isFalse();
        }
    }

    @Nested
    class Feeds {
        @Test
        void waitForAChangeOfTheirTable() {
            CompletableFuture<HttpReply> reply =
                    rows.feed(call("table", "t", "after", "0", "waitMs", "5000"))
                            .toCompletableFuture();
            rows.put("other", "a", "x");
            assertThat(reply).isNotDone();
            rows.put("t", "a", "x");
            assertThat(body(reply.join()).path("rows")).hasSize(1);
        }

        @Test
        void showRemovedRowsAndOnlyTheLastChangeOfARow() {
            rows.put("t", "a", "x");
            rows.put("t", "b", "x");
            rows.put("t", "b", "y");
            rows.remove("t", "a");
            JsonNode found =
                    body(rows.feed(call("table", "t", "after", "0")).toCompletableFuture().join());
            assertThat(found.path("rows")).hasSize(2);
            assertThat(found.path("rows").path(1).path("deleted").booleanValue()).isTrue();
        }
    }
}
