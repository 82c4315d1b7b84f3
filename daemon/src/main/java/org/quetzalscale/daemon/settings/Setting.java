package org.quetzalscale.daemon.settings;

import java.util.List;
import java.util.Locale;

/** All settings. Each is read from its flag, or else from its environment variable. */
public enum Setting {
    /** Id of this instance. */
    INSTANCE_ID(
            "instance-id",
            ValueType.NAME,
            "",
            "",
            "Name of this process, unique among the instances; empty: made from address and port"),
    /** Availability zone. */
    ZONE("zone", ValueType.NAME, "zone-1", "", "Availability zone that this process runs in"),
    /** Address of the caller port. */
    CALLER_ADDRESS("caller-address", ValueType.IP, "127.0.0.1", "", "Address for callers"),
    /** Caller port. */
    CALLER_PORT("caller-port", 8080, "", 0, 65_535, "Port for callers; 0: any free port"),
    /** Address of the operator port. */
    OPERATOR_ADDRESS(
            "operator-address",
            ValueType.IP,
            "127.0.0.1",
            "",
            "Address for operators and metrics; without an operator token only a loopback address"),
    /** Operator port. */
    OPERATOR_PORT("operator-port", 8081, "", 0, 65_535, "Port for operators; 0: any free port"),
    /** Address of the sibling port. */
    SIBLING_ADDRESS(
            "sibling-address",
            ValueType.IP,
            "127.0.0.1",
            "",
            "Address for the other instances, which they reach this process by"),
    /** Sibling port. */
    SIBLING_PORT(
            "sibling-port", 8082, "", 0, 65_535, "Port for the other instances; 0: any free port"),
    /** Address and port of the platform. */
    PLATFORM_ADDRESS(
            "platform-address",
            ValueType.ADDRESS,
            "",
            "",
            "Address of the platform; empty: a platform in the memory of this process"),
    /** Operators' bearer token. */
    OPERATOR_TOKEN(
            "operator-token",
            ValueType.TEXT,
            "",
            "characters",
            0,
            1_024,
            "Bearer token that operators present; empty: none is required",
            true),
    /** Wait for the load balancer on a planned stop. */
    BALANCER_DELAY_MILLIS(
            "balancer-delay-ms",
            5_000,
            "ms",
            0,
            600_000,
            "Time on a planned stop from not ready until connections are closed"),
    /** Longest wait for running requests on a planned stop. */
    DRAIN_BOUND_MILLIS(
            "drain-bound-ms",
            60_000,
            "ms",
            0,
            3_600_000,
            "Longest wait on a planned stop for running requests"),
    /** Lowest severity level that is logged. */
    LOG_LEVEL(
            "log-level",
            List.of("trace", "debug", "info", "warn", "error", "off"),
            "info",
            "Least severe level that is logged"),
    /** Format of log lines. */
    LOG_FORMAT(
            "log-format", List.of("json", "text"), "json", "One JSON object a line, or key=value"),
    /** Number of event loop threads. */
    EVENT_LOOP_THREADS("event-loop-threads", 2, "threads", 1, 256, "Event loop threads"),
    /** Maximum number of concurrent connections from callers. */
    MAX_CONNECTIONS(
            "max-connections",
            10_000,
            "connections",
            1,
            1_000_000,
            "Connections of callers that are open at once; further ones are closed");

    private static final String ENVIRONMENT_PREFIX = "QUETZALSCALE_";
    private static final int MAX_NAME_CHARS = 63;

    private final String name;
    private final ValueType type;
    private final String defaultValue;
    private final String unit;
    private final long min;
    private final long max;
    private final List<String> words;
    private final String description;
    private final boolean secret;

    Setting(String name, int value, String unit, long min, long max, String description) {
        this.name = name;
        this.type = ValueType.NUMBER;
        this.defaultValue = Integer.toString(value);
        this.unit = unit;
        this.min = min;
        this.max = max;
        this.words = List.of();
        this.description = description;
        this.secret = false;
    }

    Setting(String name, ValueType type, String value, String unit, String description) {
        this(name, type, value, unit, 0, MAX_NAME_CHARS, description, false);
    }

    Setting(
            String name,
            ValueType type,
            String value,
            String unit,
            long min,
            long max,
            String description,
            boolean secret) {
        this.name = name;
        this.type = type;
        this.defaultValue = value;
        this.unit = unit;
        this.min = min;
        this.max = max;
        this.words = List.of();
        this.description = description;
        this.secret = secret;
    }

    Setting(String name, List<String> words, String value, String description) {
        this.name = name;
        this.type = ValueType.WORD;
        this.defaultValue = value;
        this.unit = "";
        this.min = 0;
        this.max = 0;
        this.words = words;
        this.description = description;
        this.secret = false;
    }

    /** The flag, such as {@code --caller-port}. */
    public String flag() {
        return "--" + name;
    }

    /** The environment variable, such as {@code QUETZALSCALE_CALLER_PORT}. */
    public String environmentVariable() {
        return ENVIRONMENT_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    /** The value when neither flag nor environment variable gives one. */
    public String defaultValue() {
        return defaultValue;
    }

    /** The unit of a number, or empty. */
    public String unit() {
        return unit;
    }

    /** Whether the value is secret and is masked wherever it is shown. */
    public boolean secret() {
        return secret;
    }

    /** What the setting does. */
    public String description() {
        return description;
    }

    /** The values that are allowed, for messages and documentation. */
    public String allowed() {
        return switch (type) {
            case NUMBER -> "a whole number from " + min + " to " + max;
            case IP -> "an IP number";
            case ADDRESS -> "an IP number and a port from 1 to 65535, or empty";
            case NAME ->
                    "1 to "
                            + max
                            + " characters of a-z, 0-9, '-' and '.', starting and ending with a"
                            + " letter or digit"
                            + (defaultValue.isEmpty() ? ", or empty" : "");
            case WORD -> "one of " + String.join(", ", words);
            case TEXT -> min + " to " + max + " printable ASCII characters without spaces";
        };
    }

    /** Whether the value is allowed. */
    public boolean allows(String value) {
        return switch (type) {
            case NUMBER -> SettingValues.isNumber(value, min, max);
            case IP -> SettingValues.isIp(value);
            case ADDRESS -> value.isEmpty() || SettingValues.isAddress(value);
            case NAME -> value.isEmpty() ? defaultValue.isEmpty() : SettingValues.isName(value);
            case WORD -> words.contains(value);
            case TEXT -> SettingValues.isText(value, min, max);
        };
    }
}
