package org.quetzalscale.standin.soak;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ListHistoryTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ListHistory history = new ListHistory();

    @BeforeEach
    void addStates() {
        for (int millis = 0; millis <= 1_000; millis += 100) {
            history.add(listOf(millis), millis * NANOS_PER_MILLI);
        }
    }

    private static ObjectNode listOf(int millis) {
        return JsonNodeFactory.instance.objectNode().put("at", millis);
    }

    @Nested
    class States {
        /** A list that is younger than asked for would show what a late one cannot know. */
        @Test
        void areAtLeastAsOldAsTheAge() {
            assertThat(history.state(250, 1_000 * NANOS_PER_MILLI)).isEqualTo(listOf(700));
            assertThat(history.state(0, 1_000 * NANOS_PER_MILLI)).isEqualTo(listOf(1_000));
        }

        @Test
        void areTheOldestOneBeforeAnyIsOldEnough() {
            assertThat(history.state(5_000, 1_000 * NANOS_PER_MILLI)).isEqualTo(listOf(0));
        }
    }
}
