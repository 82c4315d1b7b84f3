package org.quetzalscale.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

class SettingsTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private Startup start(Map<String, String> environment, String... arguments) {
        return Startup.of(
                arguments,
                environment,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    @Nested
    class Reading {
        @Test
        void prefersFlagToEnvironmentToDefault() {
            Map<String, String> environment =
                    Map.of("QUETZALSCALE_CALLER_PORT", "9000", "QUETZALSCALE_ZONE", "east-2");
            Settings settings = start(environment, "--caller-port=9100").settings();
            assertThat(settings.callerAddress())
                    .isEqualTo(new InetSocketAddress("127.0.0.1", 9100));
            assertThat(settings.zone().value()).isEqualTo("east-2");
            assertThat(settings.drainBoundMillis()).isEqualTo(60_000);
            assertThat(settings.platformAddress()).isEmpty();
        }

        @Test
        void takesAnIpv6PlatformAddress() {
            Settings settings = start(Map.of(), "--platform-address", "[::1]:9090").settings();
            assertThat(settings.platformAddress()).contains(new InetSocketAddress("::1", 9090));
        }

        /**
         * Guards against two processes that are treated as one instance because they share an id.
         */
        @Test
        void namesTheInstanceByAddressAndPort() {
            assertThat(start(Map.of(), "--sibling-port=7001").settings().instanceId().value())
                    .isEqualTo("i-127.0.0.1-7001");
            assertThat(
                            start(Map.of(), "--sibling-address=::1", "--sibling-port=0")
                                    .settings()
                                    .instanceId()
                                    .value())
                    .startsWith("i---1-p");
        }
    }

    @Nested
    class Validation {
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "--caller-port|65536|from 0 to 65535",
                    "--caller-port|-1|from 0 to 65535",
                    "--caller-port|http|from 0 to 65535",
                    "--event-loop-threads|0|from 1 to 256",
                    "--caller-address|localhost|an IP number",
                    "--platform-address|10.0.0.1:0|a port from 1 to 65535",
                    "--platform-address|10.0.0.1|a port from 1 to 65535",
                    "--zone|East|a-z",
                    "--log-level|loud|trace, debug, info",
                })
        void reportsFlagValueAndRangeAndExitsWithTwo(String flag, String value, String allowed) {
            Startup startup = start(Map.of(), flag, value);
            assertThat(startup.settings()).isNull();
            assertThat(startup.exitCode()).isEqualTo(2);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains(flag, value, allowed);
        }

        @Test
        void rejectsInvalidEnvironmentVariables() {
            start(Map.of("QUETZALSCALE_DRAIN_BOUND_MS", "1h"));
            assertThat(err.toString(StandardCharsets.UTF_8))
                    .contains("QUETZALSCALE_DRAIN_BOUND_MS", "1h");
        }

        @ParameterizedTest
        @ValueSource(strings = {"--no-such-flag=1", "--zone", "zone"})
        void rejectsUnknownFlagsAndMissingValues(String argument) {
            assertThat(start(Map.of(), argument).exitCode()).isEqualTo(2);
        }

        @Test
        void rejectsAFlagGivenTwice() {
            assertThat(start(Map.of(), "--zone=a", "--zone=b").exitCode()).isEqualTo(2);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("twice");
        }

        /** Guards against an operator port that is open to the network without authentication. */
        @Test
        void rejectsAPublicOperatorPortWithoutToken() {
            assertThat(start(Map.of(), "--operator-address=0.0.0.0").exitCode()).isEqualTo(2);
            assertThat(err.toString(StandardCharsets.UTF_8))
                    .contains("--operator-address", "0.0.0.0", "loopback");
            assertThat(
                            start(Map.of(), "--operator-address=0.0.0.0", "--operator-token=t")
                                    .settings())
                    .isNotNull();
        }
    }

    @Nested
    class Secrets {
        private static final String TOKEN = "hunter2-token";

        @Test
        void areMaskedWhereSettingsArePrinted() {
            Startup startup =
                    start(Map.of("QUETZALSCALE_OPERATOR_TOKEN", TOKEN), "--print-settings");
            assertThat(startup.exitCode()).isZero();
            assertThat(out.toString(StandardCharsets.UTF_8))
                    .contains("--operator-token=********", "--caller-port=8080")
                    .doesNotContain(TOKEN);
        }

        @Test
        void areLeftOutOfMessages() {
            assertThatThrownBy(
                            () ->
                                    Settings.of(
                                            Map.of(Setting.OPERATOR_TOKEN, TOKEN + " \u0007"),
                                            Map.of()))
                    .isInstanceOfSatisfying(
                            QuetzalscaleException.class,
                            e -> assertThat(e.kind()).isEqualTo(ErrorKind.INVALID_SETTING))
                    .hasMessageContaining("--operator-token")
                    .hasMessageNotContaining(TOKEN);
        }
    }

    @Nested
    class Table {
        @ParameterizedTest
        @EnumSource(Setting.class)
        void allowsEachDefaultAndListsEachSettingInHelp(Setting setting) {
            assertThat(setting.allows(setting.defaultValue())).isTrue();
            assertThat(CommandLine.helpText())
                    .contains(setting.flag(), setting.environmentVariable());
        }
    }
}
