package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TwiceCheckTest {
    private static final String TASK = "5c0e7a21d94b36f8.0.0.1";
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private static Run run(
            long number,
            double start,
            double end,
            String how,
            double acknowledged,
            boolean lapsed) {
        return new Run(
                TASK,
                number,
                "w-" + number,
                "node-1",
                false,
                start,
                end,
                how,
                acknowledged,
                lapsed);
    }

    private static List<Violation.Rule> rules(Run... runs) {
        return TwiceCheck.check(List.of(runs)).violations().stream().map(Violation::rule).toList();
    }

    private static int permitted(Run... runs) {
        return TwiceCheck.check(List.of(runs)).permitted().size();
    }

    @Nested
    class Overlaps {
        @Test
        void reportsTwoRunsAtTheSameTime() {
            Run first = run(1, 1, 5, "lapsed", 6, false);
            Run second = run(2, 4, 7, "done", 7, false);
            TwiceCheck.Result result = TwiceCheck.check(List.of(second, first));
            assertThat(result.violations())
                    .singleElement()
                    .satisfies(
                            violation -> {
                                assertThat(violation.rule()).isEqualTo(Violation.Rule.OVERLAP);
                                assertThat(violation.summary()).isEqualTo(TASK + ": 1.000 s");
                                assertThat(violation.evidence())
                                        .containsExactly(first.toString(), second.toString());
                            });
        }

        @Test
        void reportsARunBesideOneThatHasNotEnded() {
            Run first = run(1, 1, NEVER, "", NEVER, false);
            Run second = run(2, 4, NEVER, "", NEVER, false);
            assertThat(rules(first, second)).containsExactly(Violation.Rule.OVERLAP);
        }

        @Test
        void reportsEachPairOfThreeRuns() {
            Run first = run(1, 1, 9, "lapsed", NEVER, false);
            Run second = run(2, 2, 3, "failed", NEVER, false);
            Run third = run(3, 4, 5, "failed", NEVER, false);
            assertThat(rules(first, second, third))
                    .containsExactly(Violation.Rule.OVERLAP, Violation.Rule.OVERLAP);
        }

        @Test
        void acceptsARunAfterOneThatHasEndedOtherwise() {
            Run first = run(1, 1, 5, "lapsed", 6, false);
            Run second = run(2, 5, 7, "done", 7, false);
            assertThat(rules(first, second)).isEmpty();
            assertThat(permitted(first, second)).isZero();
        }

        @Test
        void acceptsRunsOfDifferentTasks() {
            Run first = run(1, 1, 5, "done", 6, false);
            Run other =
                    new Run(
                            "5c0e7a21d94b36f8.0.0.2",
                            2,
                            "w-2",
                            "node-1",
                            false,
                            2,
                            4,
                            "done",
                            5,
                            false);
            assertThat(rules(first, other)).isEmpty();
        }
    }

    @Nested
    class StartsAfterAnEnd {
        @Test
        void reportsAStartAfterAnAcknowledgedEnd() {
            Run first = run(1, 1, 5, "done", 5.1, false);
            Run second = run(2, 6, 7, "done", 7, false);
            assertThat(rules(first, second)).containsExactly(Violation.Rule.START_AFTER_END);
        }

        /** An end that is acknowledged only after the second start counts as well. */
        @Test
        void reportsAStartBeforeTheAcknowledgement() {
            Run first = run(1, 1, 5, "done", 9, false);
            Run second = run(2, 6, 7, "failed", 7, false);
            assertThat(rules(first, second)).containsExactly(Violation.Rule.START_AFTER_END);
        }

        @Test
        void permitsAStartAfterAnEndThatIsNeverAcknowledged() {
            Run first = run(1, 1, 5, "done", NEVER, false);
            Run second = run(2, 6, 7, "done", 7, false);
            assertThat(rules(first, second)).isEmpty();
            assertThat(permitted(first, second)).isOne();
        }

        @Test
        void permitsAStartAfterALapseBeforeTheAcknowledgement() {
            Run first = run(1, 1, 5, "done", 9, true);
            Run second = run(2, 6, 7, "done", 7, false);
            assertThat(rules(first, second)).isEmpty();
            assertThat(permitted(first, second)).isOne();
        }

        @Test
        void acceptsAStartAfterAFailedRun() {
            Run first = run(1, 1, 5, "failed", 5.1, false);
            Run second = run(2, 6, 7, "done", 7, false);
            assertThat(rules(first, second)).isEmpty();
        }
    }
}
