package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NodeCommandTest {
    @TempDir private Path checkout;

    @BeforeEach
    void writeDeployFile() throws IOException {
        Files.createDirectories(checkout.resolve("deploy"));
        Files.createDirectories(checkout.resolve("target"));
        Files.writeString(
                checkout.resolve("deploy/system.toml"),
                "[roles.node]\n"
                        + "run = \"java -XX:SharedArchiveFile=target/n.jsa -jar target/n.jar\"\n");
    }

    @Nested
    class BuiltCheckouts {
        @BeforeEach
        void build() throws IOException {
            Files.createFile(checkout.resolve("target/n.jar"));
        }

        @Test
        void giveTheWholeCommand() throws IOException {
            Files.createFile(checkout.resolve("target/n.jsa"));
            assertThat(NodeCommand.read(checkout))
                    .containsExactly(
                            "java", "-XX:SharedArchiveFile=target/n.jsa", "-jar", "target/n.jar");
        }

        /** CI builds no class archive, and a JVM may refuse to start without one it is told of. */
        @Test
        void withoutAClassArchiveGiveTheCommandWithoutIt() throws IOException {
            assertThat(NodeCommand.read(checkout)).containsExactly("java", "-jar", "target/n.jar");
        }
    }

    @Nested
    class OtherCheckouts {
        @Test
        void cannotBePlayed() {
            assertThatThrownBy(() -> NodeCommand.read(checkout))
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("has not been built");
        }
    }
}
