package org.quetzalscale.ctl.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.ExitCode;

class ApplyCommandTest {
    private static final String FLEET =
            """
            kind: workers
            name: w-1
            spec: {pool: north, address: "127.0.0.1:9001", zone: z1, rack: r1, cores: 4, memoryMib: 64}
            ---
            kind: queues
            name: nitrate
            spec: {pool: north, timeoutMs: 500}
            ---
            kind: pools
            name: north
            spec: {minAvailable: 1}
            ---
            kind: teams
            name: lab
            spec: {share: 4, upperLimit: 10}
            """;

    @TempDir private Path directory;
    private final CtlHarness ctl = new CtlHarness();

    @AfterEach
    void stop() {
        ctl.close();
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    @Nested
    class Writing {
        @Test
        void createsInOrderOfDependencies() throws IOException {
            assertThat(ctl.run("apply", "-f", file("a.yaml", FLEET))).isEqualTo(ExitCode.DONE);
            assertThat(ctl.server().writes())
                    .containsExactly(
                            "POST /v1/teams",
                            "POST /v1/pools",
                            "POST /v1/queues",
                            "POST /v1/workers");
            assertThat(ctl.out()).contains("created teams/lab (revision 1)", "4 created");
        }

        /** Guards against a rewrite of equal declarations, such as 4 and 4.0 or default values. */
        @Test
        void writesNothingTheSecondTime() throws IOException {
            String file = file("a.yaml", FLEET);
            ctl.run("apply", "-f", file);
            assertThat(ctl.run("apply", "-f", file)).isEqualTo(ExitCode.DONE);
            assertThat(ctl.server().writes()).hasSize(4);
            assertThat(ctl.out()).contains("0 created, 0 changed, 4 unchanged");
        }

        @Test
        void changesOnlyWhatDiffersAndShowsTheDiff() throws IOException {
            ctl.run("apply", "-f", file("a.yaml", FLEET));
            String changed = FLEET.replace("upperLimit: 10", "upperLimit: 12");
            assertThat(ctl.run("apply", "--diff", "-f", file("a.yaml", changed)))
                    .isEqualTo(ExitCode.DONE);
            assertThat(ctl.server().spec("teams/lab").path("upperLimit").asInt()).isEqualTo(12);
            assertThat(ctl.out())
                    .contains(
                            "changed teams/lab",
                            "- spec.upperLimit: 10",
                            "+ spec.upperLimit: 12",
                            "3 unchanged");
        }

        @Test
        void sendsNothingInADryRun() throws IOException {
            assertThat(ctl.run("apply", "--dry-run", "-f", file("a.yaml", FLEET)))
                    .isEqualTo(ExitCode.DONE);
            assertThat(ctl.server().writes()).isEmpty();
            assertThat(ctl.out()).contains("created pools/north", "4 created", "nothing was sent");
        }

        /** Guards against a worker under maintenance that gets work because a file is applied. */
        @Test
        void keepsADrainThatTheFileDoesNotMention() throws IOException {
            ctl.run("apply", "-f", file("a.yaml", FLEET));
            String spec = ctl.server().spec("workers/w-1").toString();
            ctl.server()
                    .put(Kind.WORKERS, "w-1", spec.replace("\"drain\":false", "\"drain\":true"));
            ctl.run("apply", "-f", file("a.yaml", FLEET.replace("cores: 4", "cores: 5")));
            assertThat(ctl.server().spec("workers/w-1").path("drain").asBoolean()).isTrue();
            assertThat(ctl.server().spec("workers/w-1").path("cores").asInt()).isEqualTo(5);
        }
    }

    @Nested
    class Pruning {
        @Test
        void deletesOnlyOfKindsThatTheFilesName() throws IOException {
            ctl.server().put(Kind.POOLS, "old", "{\"minAvailable\":1}");
            ctl.server().put(Kind.TEAMS, "kept", "{\"share\":1,\"upperLimit\":1}");
            String pools = "{\"kind\":\"pools\",\"name\":\"new\",\"spec\":{\"minAvailable\":0}}";
            assertThat(ctl.run("apply", "--prune", "-f", file("p.json", pools)))
                    .isEqualTo(ExitCode.DONE);
            assertThat(ctl.server().spec("pools/old")).isNull();
            assertThat(ctl.server().spec("teams/kept")).isNotNull();
            assertThat(ctl.out()).contains("deleted pools/old", "1 deleted");
        }

        @Test
        void deletesOfTheKindsThatTheOptionNames() throws IOException {
            ctl.server().put(Kind.POOLS, "kept", "{\"minAvailable\":1}");
            ctl.server().put(Kind.TEAMS, "old", "{\"share\":1,\"upperLimit\":1}");
            String pool = "{kind: pool, name: new, spec: {minAvailable: 0}}";
            ctl.run("apply", "--prune-kinds", "teams", "-f", file("p.yaml", pool));
            assertThat(ctl.server().spec("pools/kept")).isNotNull();
            assertThat(ctl.server().spec("teams/old")).isNull();
        }

        @Test
        void deletesNothingWithoutTheOption() throws IOException {
            ctl.server().put(Kind.TEAMS, "old", "{\"share\":1,\"upperLimit\":1}");
            ctl.run("apply", "-f", file("a.yaml", FLEET));
            assertThat(ctl.server().spec("teams/old")).isNotNull();
        }
    }

    @Nested
    class Refusing {
        @Test
        void namesFileDocumentFieldAndValueOfEveryErrorAndSendsNothing() throws IOException {
            String bad =
                    FLEET.replace("cores: 4", "cores: 0")
                            .replace("share: 4", "share: much")
                            .replace("kind: queues", "kind: lines");
            assertThat(ctl.run("apply", "-f", file("bad.yaml", bad))).isEqualTo(ExitCode.REFUSED);
            assertThat(ctl.server().writes()).isEmpty();
            assertThat(ctl.err())
                    .contains(
                            "bad.yaml, document 1 (workers/w-1): ",
                            "spec.cores has the value 0",
                            "bad.yaml, document 2: kind has the value lines",
                            "bad.yaml, document 4 (teams/lab): spec.share has the value \"much\"");
        }

        @Test
        void reportsBrokenSyntaxWithItsLine() throws IOException {
            String broken = "kind: teams\nname: lab\nspec: {share: 1, share: 2}\n";
            assertThat(ctl.run("apply", "-f", file("b.yaml", broken))).isEqualTo(ExitCode.REFUSED);
            assertThat(ctl.err()).contains("b.yaml, document 1, line 3", "share");
        }

        @Test
        void reportsADeclarationThatOccursTwice() throws IOException {
            file("a.yaml", FLEET);
            file("b.yaml", "{kind: team, name: lab, spec: {share: 1, upperLimit: 1}}");
            assertThat(ctl.run("apply", "-f", directory.toString())).isEqualTo(ExitCode.REFUSED);
            assertThat(ctl.err()).contains("b.yaml, document 1", "declared before in", "a.yaml");
        }

        @Test
        void reportsAMissingFileAsUsage() {
            assertThat(ctl.run("apply", "-f", directory.resolve("none.yaml").toString()))
                    .isEqualTo(ExitCode.USAGE);
        }

        @Test
        void passesOnTheRefusalOfAWrongToken() throws IOException {
            String file = file("a.yaml", FLEET);
            ctl.environment().put("QUETZALSCALE_TOKEN", "wrong");
            assertThat(ctl.run("apply", "-f", file)).isEqualTo(ExitCode.REFUSED);
            assertThat(ctl.err()).contains("operator_unauthorized");
        }
    }
}
