package org.quetzalscale.net.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.QueueSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.WaveSpec;

class SpecJsonTest {
    private static final String WORKER =
            "{'pool':'p','address':'127.0.0.1:80','zone':'z','rack':'r','cores':2,'memoryMib':4}";

    private static JsonNode json(String text) {
        return Json.readTree(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private static String minimal(Kind kind) {
        return switch (kind) {
            case TEAMS -> "{'share':2,'upperLimit':5}";
            case KEYS -> "{'team':'t','secretHash':'" + "a".repeat(64) + "'}";
            case POOLS -> "{'minAvailable':1}";
            case WORKERS -> WORKER;
            case QUEUES -> "{'pool':'p','timeoutMs':9}";
            case WAVES -> "{'action':'reboot'}";
            case DEPLOYMENTS -> "{'weights':{'bufferCost':1,'rollOutTime':2,'moves':3,'share':4}}";
            case ASSIGNMENTS -> "{'pool':'p','phase':'ACTIVE'}";
        };
    }

    @Nested
    class Reading {
        @ParameterizedTest
        @EnumSource(Kind.class)
        void appliesDefaultsAndRoundTrips(Kind kind) {
            Spec spec = SpecJson.read(kind, json(minimal(kind)));
            assertThat(spec.kind()).isEqualTo(kind);
            assertThat(SpecJson.read(kind, SpecJson.write(spec))).isEqualTo(spec);
        }

        @Test
        void readsIdsFromPlainStrings() {
            Spec spec = SpecJson.read(Kind.WAVES, json("{'action':'REBOOT','pools':['a','b']}"));
            assertThat(((WaveSpec) spec).pools()).containsExactly(new PoolId("a"), new PoolId("b"));
        }

        @ParameterizedTest
        @CsvSource(
                quoteCharacter = '`',
                delimiter = '|',
                value = {
                    "TEAMS|{'share':1,'upperLimit':-1}|spec.upperLimit|-1",
                    "TEAMS|{'share':1,'upperLimit':'ten'}|spec.upperLimit|ten",
                    "TEAMS|{'share':1,'upperLimit':1.5}|spec.upperLimit|1.5",
                    "TEAMS|{'share':2}|spec.upperLimit|required",
                    "TEAMS|{'upperLimit':1,'shares':2}|spec.shares|no such field",
                    "POOLS|{'minAvailable':1,'spare':'yes'}|spec.spare|yes",
                    "QUEUES|{'timeoutMs':9,'pool':'Not A Name'}|spec.pool|Not A Name",
                    "WAVES|{'action':'melt'}|spec.action|melt",
                    "WAVES|{'action':'reboot','pools':['UP']}|spec.pools|UP",
                    "KEYS|{'team':'t','secretHash':'x'}|spec.secretHash|not shown",
                    "DEPLOYMENTS|[]|spec|object",
                    "DEPLOYMENTS|{'moves':1}|spec.moves|no such field",
                    "DEPLOYMENTS|{'weights':{'moves':1}}|spec.weights.bufferCost|required"
                })
        void reportsFieldAndValueOfAnError(Kind kind, String spec, String field, String value) {
            assertThatThrownBy(() -> SpecJson.read(kind, json(spec)))
                    .isInstanceOfSatisfying(
                            QuetzalscaleException.class, e -> assertThat(e.field()).contains(field))
                    .hasMessageContaining(value);
        }
    }

    @Nested
    class Fields {
        /** Guards against a record component that has no entry in the table of fields. */
        @ParameterizedTest
        @EnumSource(Kind.class)
        void listEveryComponentOfTheRecordInOrder(Kind kind) {
            Class<?> type = SpecJson.read(kind, json(minimal(kind))).getClass();
            List<String> components =
                    Arrays.stream(type.getRecordComponents())
                            .map(RecordComponent::getName)
                            .toList();
            assertThat(SpecJson.fields(kind)).extracting(SpecField::name).isEqualTo(components);
        }
    }

    @Nested
    class Writing {
        /** Set order differs between processes; unsorted, equal queues would appear changed. */
        @Test
        void sortsMethods() {
            QueueSpec queue =
                    new QueueSpec(new PoolId("p"), true, 10, 1, Set.of("PUT", "GET", "DELETE"));
            assertThat(SpecJson.write(queue).get("idempotentMethods").toString())
                    .isEqualTo("[\"DELETE\",\"GET\",\"PUT\"]");
        }
    }
}
