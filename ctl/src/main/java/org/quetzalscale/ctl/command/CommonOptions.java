package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.ranges.IntegerRange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The options that all commands have. */
public final class CommonOptions {
    static final String SERVER_VARIABLE = "QUETZALSCALE_SERVER";
    static final String TOKEN_VARIABLE = "QUETZALSCALE_TOKEN";

    private static final String DEFAULT_SERVER = "127.0.0.1:8081";
    private static final int MAX_TIMEOUT_SECONDS = 3_600;

    @Option(
            type = OptionType.GLOBAL,
            name = "--server",
            title = "host:port",
            description =
                    "Operator address; may be repeated or hold several with commas, which are tried"
                            + " in turn. Environment: QUETZALSCALE_SERVER."
                            + " Default: 127.0.0.1:8081")
    private List<String> servers = new ArrayList<>();

    @Option(
            type = OptionType.GLOBAL,
            name = "--token",
            title = "token",
            description = "Operator token. Environment: QUETZALSCALE_TOKEN, which is safer")
    private String token;

    @Option(
            type = OptionType.GLOBAL,
            name = {"-o", "--output"},
            title = "format",
            description = "table or json")
    @AllowedRawValues(allowedValues = {"table", "json"})
    private String output = "table";

    @Option(
            type = OptionType.GLOBAL,
            name = "--wait",
            description = "Wait until the change is in force on every live instance")
    private boolean wait;

    @Option(
            type = OptionType.GLOBAL,
            name = "--timeout",
            title = "seconds",
            description = "Longest wait of --wait, and of watch for a server; default 30")
    @IntegerRange(min = 1, max = MAX_TIMEOUT_SECONDS)
    private int timeoutSeconds = 30;

    @Option(
            type = OptionType.GLOBAL,
            name = {"-h", "--help"},
            description = "Show help of the command")
    private boolean help;

    List<String> servers(Map<String, String> environment) {
        return servers.isEmpty()
                ? List.of(environment.getOrDefault(SERVER_VARIABLE, DEFAULT_SERVER))
                : List.copyOf(servers);
    }

    String token(Map<String, String> environment) {
        return token == null ? environment.getOrDefault(TOKEN_VARIABLE, "") : token;
    }

    boolean json() {
        return output.equals("json");
    }

    boolean waits() {
        return wait;
    }

    long timeoutMillis() {
        return TimeUnit.SECONDS.toMillis(timeoutSeconds);
    }

    boolean help() {
        return help;
    }
}
