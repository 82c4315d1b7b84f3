package org.quetzalscale.ctl.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;

/** Parses the addresses of operator ports. */
public final class ServerAddresses {
    private static final int MAX_PORT = 65_535;
    private static final Pattern ADDRESS =
            Pattern.compile("(?:\\[([0-9a-fA-F:.]+)\\]|([^:\\[\\]\\s]+)):(\\d{1,5})");

    private ServerAddresses() {}

    /**
     * Parses {@code host:port} addresses; each text may hold several, separated by commas.
     *
     * @throws CtlException USAGE if an address has another form or there is none
     */
    public static List<InetSocketAddress> parse(List<String> texts) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : texts) {
            for (String part : text.split(",", -1)) {
                addresses.add(parse(part.strip()));
            }
        }
        if (addresses.isEmpty()) {
            throw new CtlException(ExitCode.USAGE, "--server is required");
        }
        return addresses;
    }

    private static InetSocketAddress parse(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(3)) > MAX_PORT) {
            throw new CtlException(
                    ExitCode.USAGE, "--server has the value \"" + text + "\": expected host:port");
        }
        String host = matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
        return new InetSocketAddress(host, Integer.parseInt(matcher.group(3)));
    }
}
