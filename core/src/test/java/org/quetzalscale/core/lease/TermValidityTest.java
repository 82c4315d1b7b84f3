package org.quetzalscale.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.id.InstanceId;

/** Guards against an owner that acts although another instance may have taken over (TWICE). */
final class TermValidityTest {
    private static final InstanceId SELF = new InstanceId("node-1.start-a");
    private static final long GENERATION = 40;
    private static final LeaseView CUT_OFF = new LeaseView(false, SELF.value(), 44);

    private final TermValidity validity = new TermValidity(SELF, GENERATION, 1_000);

    private void assertValidUntil(long endMillis) {
        assertThat(validity.isValid(endMillis - 1)).isTrue();
        assertThat(validity.isValid(endMillis)).isFalse();
    }

    /** Guards against a bound that counts from an answer instead of from its request. */
    @Nested
    final class Confirmations {
        @Test
        void countFromTheRequest() {
            assertValidUntil(2_500);
            validity.confirm(3_000);
            assertValidUntil(4_500);
        }

        @Test
        void doNotShortenTheTermIfTheyArriveLate() {
            validity.confirm(500);

            assertValidUntil(2_500);
        }

        @Test
        void fromBeforeAPauseDoNotCount() {
            validity.pause(1_400);
            validity.confirm(1_300);
            assertThat(validity.isValid(1_500)).isFalse();

            validity.confirm(1_400);
            assertValidUntil(2_900);
        }
    }

    /** Guards against taking a partition for an outage of the table, and the other way round. */
    @Nested
    final class Siblings {
        private void answer(LeaseView... views) {
            validity.siblingsAnswered(Optional.of(List.of(views)), 2_400);
        }

        @Test
        void thatCannotReachTheTableConfirm() {
            answer(CUT_OFF, new LeaseView(false, "", 40));

            assertValidUntil(3_900);
        }

        @Test
        void thatHaveNotReadTheLeaseSinceTheirStartConfirmNothing() {
            answer(CUT_OFF, new LeaseView(false, "", 0));

            assertValidUntil(2_500);
        }

        @Test
        void thatDoNotAnswerConfirmNothing() {
            validity.siblingsAnswered(Optional.empty(), 2_400);

            assertValidUntil(2_500);
        }

        @Test
        void thatAreNotKnownConfirmNothing() {
            answer();

            assertValidUntil(2_500);
        }

        @Test
        void thatReachTheTableConfirmNothing() {
            answer(CUT_OFF, new LeaseView(true, SELF.value(), 44));

            assertValidUntil(2_500);
        }

        @Test
        void thatKnowALaterHolderEndTheTerm() {
            LeaseView later = new LeaseView(false, "node-2.start-b", GENERATION + 5);
            answer(CUT_OFF, later);

            assertValidUntil(2_500);
            assertThat(validity.isSuperseded(Optional.of(List.of(CUT_OFF, later)))).isTrue();
        }

        @Test
        void thatKnowAnEarlierHolderAreBehind() {
            LeaseView earlier = new LeaseView(false, "node-2.start-b", GENERATION - 5);
            answer(earlier);

            assertValidUntil(3_900);
            assertThat(validity.isSuperseded(Optional.of(List.of(earlier)))).isFalse();
        }
    }
}
