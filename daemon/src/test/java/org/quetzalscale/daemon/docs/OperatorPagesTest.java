package org.quetzalscale.daemon.docs;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.daemon.metrics.MetricInfo;
import org.quetzalscale.daemon.settings.SettingsPage;
import org.quetzalscale.net.json.SpecField;
import org.quetzalscale.net.json.SpecJson;

/** Guards against pages for operators that lack or contradict what the program has. */
class OperatorPagesTest {
    private static final Path DOCS = Path.of("..", "docs");

    private static String page(String name) throws IOException {
        return Files.readString(DOCS.resolve(name));
    }

    @Nested
    class Tables {
        @Test
        void listEverySettingAsGenerated() throws IOException {
            assertThat(page("settings.md")).contains(SettingsPage.table());
        }

        @ParameterizedTest
        @EnumSource(value = Kind.class, mode = EnumSource.Mode.EXCLUDE, names = "ASSIGNMENTS")
        void listEveryFieldWithUnitAndDefault(Kind kind) throws IOException {
            String section = page("operators/resources.md").split("\n## " + kind.path() + "\n")[1];
            section = section.split("\n## ")[0];
            for (SpecField field : SpecJson.fields(kind)) {
                String shown =
                        field.defaultValue()
                                .map(value -> "`" + text(value) + "`")
                                .orElse("required");
                assertThat(section)
                        .contains("| `" + field.name() + "` | " + field.unit() + " | " + shown);
            }
        }

        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void listEveryErrorKindWithItsAnswer(ErrorKind kind) throws IOException {
            assertThat(page("operators/errors.md"))
                    .contains(
                            "| `%s` | %d | %s | %s | "
                                    .formatted(
                                            kind.code(),
                                            kind.httpStatus(),
                                            kind.runState().code(),
                                            kind.retryable() ? "yes" : "no"));
        }

        @ParameterizedTest
        @EnumSource(MetricInfo.class)
        void listEveryMetricWithItsLabels(MetricInfo info) throws IOException {
            String labels = info.labels().isEmpty() ? "-" : String.join(", ", info.labels());
            assertThat(page("operators/metrics.md"))
                    .contains("| `%s` | %s | %s |".formatted(info.title(), labels, info.help()));
        }

        private static String text(JsonNode value) {
            return value.isTextual() ? value.asText() : value.toString();
        }
    }

    @Nested
    class Links {
        @ParameterizedTest
        @ValueSource(strings = {"install", "resources", "keys", "maintenance", "metrics", "errors"})
        void leadToFilesThatExist(String name) throws IOException {
            Path file = DOCS.resolve("operators").resolve(name + ".md");
            Stream<String> links =
                    java.util.regex.Pattern.compile("\\]\\(([^)]+)\\)")
                            .matcher(Files.readString(file))
                            .results()
                            .map(match -> match.group(1));
            assertThat(links).allSatisfy(link -> assertThat(file.resolveSibling(link)).exists());
        }

        @Test
        void leadFromTheFirstPageToAllOthers() throws IOException {
            assertThat(page("operators/install.md"))
                    .contains(
                            "(resources.md)",
                            "(keys.md)",
                            "(maintenance.md)",
                            "(metrics.md)",
                            "(errors.md)",
                            "(../settings.md)");
        }
    }
}
