package org.quetzalscale.standin.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.standin.target.TargetOptions;
import org.quetzalscale.standin.target.TargetServer;

class LoadRunTest {
    private static LoadOptions options(
            InetSocketAddress address, int queues, long seed, long durationMillis, double rate) {
        return new LoadOptions(
                List.of(address),
                List.of(new LoadOptions.Team("a", "key"), new LoadOptions.Team("b", "")),
                java.util.stream.IntStream.range(0, queues).mapToObj(i -> "q" + i).toList(),
                "/q/{queue}/work?ms={ms}&size={size}",
                seed,
                durationMillis,
                0,
                100_000,
                1000,
                rate,
                100,
                1,
                100,
                0.5,
                0.5,
                5000);
    }

    private static LoadOptions options(int queues, long seed, long durationMillis, double rate) {
        return options(new InetSocketAddress("127.0.0.1", 1), queues, seed, durationMillis, rate);
    }

    /** Guards against bursts that raise or lower the mean that was asked for. */
    @Property(tries = 20, seed = "20261204")
    void keepsTheMeanOfEachQueueOverWholeCycles(
            @ForAll @IntRange(min = 1, max = 8) int queues, @ForAll int seed) {
        long cycleMillis = new BurstPattern(queues, 1, 100).cycleMicros() / 1000;
        LoadOptions options = options(queues, seed, 100 * cycleMillis, 200);
        List<Arrival> arrivals = new ArrivalSchedule(options).draw();
        double expected = queues * 200 * 100 * cycleMillis / 1000.0;
        assertThat((double) arrivals.size()).isBetween(expected * 0.9, expected * 1.1);
        assertThat(arrivals).isSorted();
        assertThat(new ArrivalSchedule(options).draw()).isEqualTo(arrivals);
    }

    @Test
    void burstsInTurnAtFiveTimesTheMean() {
        BurstPattern pattern = new BurstPattern(5, 10, 1000);
        assertThat(pattern.rate(0, 0)).isEqualTo(50);
        assertThat(pattern.rate(1, 0)).isEqualTo(0.5);
        assertThat(pattern.rate(0, 1_000_000)).isEqualTo(0.5);
        assertThat(pattern.rate(1, pattern.cycleMicros() / 5)).isEqualTo(50);
    }

    @Test
    void refusesAddressesThatAreNotLoopback() {
        assertThatThrownBy(() -> options(new InetSocketAddress("192.0.2.1", 80), 1, 1, 1000, 1))
                .isInstanceOf(QuetzalscaleException.class)
                .hasMessageContaining("not a loopback address");
    }

    @Test
    void accountsForEveryRequestOfARun() {
        TargetServer target =
                new TargetServer(new TargetOptions("w1", "127.0.0.1", 0, 0, 100, 100));
        target.start();
        try {
            LoadOptions options =
                    options(new InetSocketAddress("127.0.0.1", target.port()), 2, 1, 1000, 50);
            LoadReport report = new LoadRun(options).run();
            assertThat(report.total().requests())
                    .isEqualTo(new ArrivalSchedule(options).draw().size());
            assertThat(report.total().outcomes())
                    .containsOnlyKeys(LoadOutcome.OK)
                    .containsEntry(LoadOutcome.OK, target.log().report(false).total());
            assertThat(report.toTable()).contains("queue q1").contains("team b");
        } finally {
            target.stop();
        }
    }
}
