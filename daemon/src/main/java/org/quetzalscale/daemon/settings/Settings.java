package org.quetzalscale.daemon.settings;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.ZoneId;

/** The validated settings of one process. Immutable. */
public final class Settings {
    private static final String MASK = "********";

    private final Map<Setting, String> values;

    private Settings(Map<Setting, String> values) {
        this.values = values;
    }

    /**
     * Reads and validates all settings; a flag takes precedence over its environment variable.
     *
     * @param flags values by setting, as given on the command line
     * @param environment environment variables by name; an empty variable counts as absent
     * @throws QuetzalscaleException INVALID_SETTING, with flag, value and allowed range
     */
    public static Settings of(Map<Setting, String> flags, Map<String, String> environment) {
        Map<Setting, String> values = new EnumMap<>(Setting.class);
        for (Setting setting : Setting.values()) {
            String variable = environment.getOrDefault(setting.environmentVariable(), "");
            String fallback = variable.isEmpty() ? setting.defaultValue() : variable;
            String value = flags.getOrDefault(setting, fallback);
            if (!setting.allows(value)) {
                throw invalid(setting, value);
            }
            values.put(setting, value);
        }
        Settings settings = new Settings(values);
        settings.requireTokenOrLoopback();
        return settings;
    }

    /** The default settings. */
    public static Settings defaults() {
        return of(Map.of(), Map.of());
    }

    /**
     * Id of this instance: the configured one, or one derived from the sibling address and port.
     */
    public InstanceId instanceId() {
        String name = values.get(Setting.INSTANCE_ID);
        if (!name.isEmpty()) {
            return new InstanceId(name);
        }
        String address = values.get(Setting.SIBLING_ADDRESS).replace(':', '-');
        int port = number(Setting.SIBLING_PORT);
        // With port 0 several processes share address and port, so the process id makes the name
        // unique.
        String last = port == 0 ? "p" + ProcessHandle.current().pid() : Integer.toString(port);
        return new InstanceId("i-" + address + "-" + last);
    }

    /** Availability zone of this process. */
    public ZoneId zone() {
        return new ZoneId(values.get(Setting.ZONE));
    }

    /** Address and port for callers. */
    public InetSocketAddress callerAddress() {
        return bindAddress(Setting.CALLER_ADDRESS, Setting.CALLER_PORT);
    }

    /** Address and port for operators. */
    public InetSocketAddress operatorAddress() {
        return bindAddress(Setting.OPERATOR_ADDRESS, Setting.OPERATOR_PORT);
    }

    /** Address and port for the other instances. */
    public InetSocketAddress siblingAddress() {
        return bindAddress(Setting.SIBLING_ADDRESS, Setting.SIBLING_PORT);
    }

    /** Address and port of the platform, or empty for an in-memory platform in this process. */
    public Optional<InetSocketAddress> platformAddress() {
        return Optional.of(values.get(Setting.PLATFORM_ADDRESS))
                .filter(value -> !value.isEmpty())
                .map(SettingValues::address);
    }

    /** The token that operators present, if one is required. */
    public Optional<String> operatorToken() {
        return Optional.of(values.get(Setting.OPERATOR_TOKEN)).filter(value -> !value.isEmpty());
    }

    /**
     * Time between reporting not ready and closing connections on a planned stop, in milliseconds.
     */
    public int balancerDelayMillis() {
        return number(Setting.BALANCER_DELAY_MILLIS);
    }

    /** Longest wait on a planned stop for running requests, in milliseconds. */
    public int drainBoundMillis() {
        return number(Setting.DRAIN_BOUND_MILLIS);
    }

    /** Lowest severity level that is logged. */
    public String logLevel() {
        return values.get(Setting.LOG_LEVEL);
    }

    /** Format of log lines: json or text. */
    public String logFormat() {
        return values.get(Setting.LOG_FORMAT);
    }

    /** Number of event loop threads. */
    public int eventLoopThreads() {
        return number(Setting.EVENT_LOOP_THREADS);
    }

    /** Maximum number of concurrent connections from callers. */
    public int maxConnections() {
        return number(Setting.MAX_CONNECTIONS);
    }

    /** One line for each setting, as {@code flag=value}; secrets are masked. */
    public String masked() {
        StringBuilder text = new StringBuilder();
        values.forEach(
                (setting, value) ->
                        text.append(setting.flag())
                                .append('=')
                                .append(setting.secret() && !value.isEmpty() ? MASK : value)
                                .append('\n'));
        return text.toString();
    }

    @Override
    public String toString() {
        return masked();
    }

    private InetSocketAddress bindAddress(Setting address, Setting port) {
        return new InetSocketAddress(SettingValues.ip(values.get(address)), number(port));
    }

    private int number(Setting setting) {
        return Integer.parseInt(values.get(setting));
    }

    private void requireTokenOrLoopback() {
        String address = values.get(Setting.OPERATOR_ADDRESS);
        if (operatorToken().isPresent() || SettingValues.ip(address).isLoopbackAddress()) {
            return;
        }
        throw new QuetzalscaleException(
                ErrorKind.INVALID_SETTING,
                Setting.OPERATOR_ADDRESS.flag(),
                Setting.OPERATOR_ADDRESS.flag()
                        + " has the value "
                        + address
                        + ": without "
                        + Setting.OPERATOR_TOKEN.flag()
                        + " only a loopback address is allowed, such as 127.0.0.1");
    }

    private static QuetzalscaleException invalid(Setting setting, String value) {
        return new QuetzalscaleException(
                ErrorKind.INVALID_SETTING,
                setting.flag(),
                setting.flag()
                        + " ("
                        + setting.environmentVariable()
                        + ") has the value "
                        + (setting.secret() ? "(not shown)" : "\"" + value + "\"")
                        + ": expected "
                        + setting.allowed());
    }
}
