package org.quetzalscale.daemon.metrics;

import java.util.List;

/** All metrics, with their names, help texts and labels. */
public enum MetricInfo {
    /** Duration of requests. */
    REQUEST_DURATION(
            "quetzalscale_request_duration_seconds",
            "Time from a request's arrival to its end",
            "team",
            "queue"),
    /** Time that requests wait for a worker. */
    REQUEST_WAIT(
            "quetzalscale_request_wait_seconds",
            "Time from a request's arrival to a worker's assignment, or to its end without one",
            "team",
            "queue"),
    /** Requests that were answered with an error. */
    REFUSALS("quetzalscale_refusals_total", "Requests answered with an error of this kind", "kind"),
    /** Responses that were truncated. */
    CUT_ANSWERS(
            "quetzalscale_cut_answers_total",
            "Answers that began but did not reach the caller whole",
            "queue"),
    /** Attempts after the first one of a request. */
    RETRIES("quetzalscale_retries_total", "Attempts after the first one of a request", "queue"),
    /** Requests assigned to a worker. */
    IN_FLIGHT("quetzalscale_requests_in_flight", "Requests assigned to a worker now"),
    /** Revision of the configuration. */
    CONFIG_REVISION("quetzalscale_config_revision", "Revision of this instance's configuration"),
    /** Validity of the configuration. */
    CONFIG_VALID(
            "quetzalscale_config_valid",
            "1 while this instance can prove that its configuration is current, else 0"),
    /** Units of each team that run on this instance. */
    TEAM_UNITS_USED(
            "quetzalscale_team_units_used", "Units of the team that run at this instance", "team"),
    /** Units of each team's upper limit that are allocated to this instance. */
    TEAM_UNITS_HELD(
            "quetzalscale_team_units_held",
            "Units of the team's upper limit allocated to this instance",
            "team");

    private final String title;
    private final String help;
    private final List<String> labels;

    MetricInfo(String title, String help, String... labels) {
        this.title = title;
        this.help = help;
        this.labels = List.of(labels);
    }

    /** The name in the Prometheus format. */
    public String title() {
        return title;
    }

    /** The help text: what the metric measures. */
    public String help() {
        return help;
    }

    /** The names of its labels. */
    public List<String> labels() {
        return labels;
    }

    String[] labelArray() {
        return labels.toArray(new String[0]);
    }
}
