package org.quetzalscale.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.id.QueueId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.daemon.caller.RequestRecord;

class DaemonMetricsTest {
    private final DaemonMetrics metrics =
            new DaemonMetrics(
                    new MetricSources(
                            () -> 3,
                            () -> 41,
                            () -> true,
                            () -> Map.of(new TeamId("lab"), 2),
                            () -> Map.of(new TeamId("lab"), 5)));

    private void ended(String team, String queue, ErrorKind error, boolean truncated) {
        metrics.ended(
                new RequestRecord(
                        Optional.ofNullable(team).map(TeamId::new),
                        Optional.ofNullable(queue).map(QueueId::new),
                        Optional.ofNullable(error),
                        200,
                        truncated,
                        4,
                        30));
    }

    @Test
    void countsRequestsByTeamAndQueueAndErrorsByKind() {
        ended("lab", "nitrate", null, false);
        ended("lab", "nitrate", ErrorKind.LIMIT_REACHED, false);
        ended(null, null, ErrorKind.KEY_UNKNOWN, false);
        ended("lab", "nitrate", null, true);
        metrics.retried(new QueueId("nitrate"));
        assertThat(metrics.text().lines())
                .contains(
                        "quetzalscale_request_duration_seconds_count{queue=\"nitrate\",team=\"lab\"} 3",
                        "quetzalscale_request_duration_seconds_bucket{queue=\"nitrate\",team=\"lab\",le=\"0.025\"} 0",
                        "quetzalscale_request_duration_seconds_bucket{queue=\"nitrate\",team=\"lab\",le=\"0.05\"} 3",
                        "quetzalscale_request_wait_seconds_bucket{queue=\"nitrate\",team=\"lab\",le=\"0.005\"} 3",
                        "quetzalscale_refusals_total{kind=\"limit_reached\"} 1.0",
                        "quetzalscale_refusals_total{kind=\"key_unknown\"} 1.0",
                        "quetzalscale_cut_answers_total{queue=\"nitrate\"} 1.0",
                        "quetzalscale_retries_total{queue=\"nitrate\"} 1.0",
                        "quetzalscale_requests_in_flight 3.0",
                        "quetzalscale_config_revision 41.0",
                        "quetzalscale_config_valid 1.0",
                        "quetzalscale_team_units_used{team=\"lab\"} 2.0",
                        "quetzalscale_team_units_held{team=\"lab\"} 5.0");
    }

    /** Guards against memory use that grows with each queue name that a caller makes up. */
    @Test
    void hasNoLabelForAnUnknownQueue() {
        ended(null, "made-up", ErrorKind.QUEUE_UNKNOWN, false);
        assertThat(metrics.text()).doesNotContain("made-up");
    }

    @ParameterizedTest
    @EnumSource(MetricInfo.class)
    void exposesEveryMetricOfTheTable(MetricInfo info) {
        ended("lab", "nitrate", ErrorKind.QUEUE_FULL, true);
        metrics.retried(new QueueId("nitrate"));
        assertThat(metrics.text()).contains("# TYPE " + info.title() + " ", info.help());
    }
}
