package org.quetzalscale.daemon.settings;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.regex.Pattern;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Names;

/**
 * Validates and converts setting values. Addresses must be numeric; host names are not resolved.
 */
final class SettingValues {
    private static final int MAX_PORT = 65_535;
    private static final Pattern DIGITS = Pattern.compile("\\d{1,9}");
    private static final Pattern PRINTABLE = Pattern.compile("[\\x21-\\x7e]*");

    private SettingValues() {}

    static boolean isNumber(String value, long min, long max) {
        return DIGITS.matcher(value).matches()
                && Long.parseLong(value) >= min
                && Long.parseLong(value) <= max;
    }

    static boolean isIp(String value) {
        return NetUtil.createByteArrayFromIpAddressString(value) != null;
    }

    static boolean isAddress(String value) {
        int colon = value.lastIndexOf(':');
        return colon > 0
                && isNumber(value.substring(colon + 1), 1, MAX_PORT)
                && isIp(value.substring(0, colon));
    }

    static boolean isName(String value) {
        try {
            Names.requireName("setting", value);
            return true;
        } catch (QuetzalscaleException e) {
            return false;
        }
    }

    static boolean isText(String value, long min, long max) {
        return value.length() >= min && value.length() <= max && PRINTABLE.matcher(value).matches();
    }

    static InetAddress ip(String value) {
        return NetUtil.createInetAddressFromIpAddressString(value);
    }

    static InetSocketAddress address(String value) {
        int colon = value.lastIndexOf(':');
        return new InetSocketAddress(
                ip(value.substring(0, colon)), Integer.parseInt(value.substring(colon + 1)));
    }
}
