package org.quetzalscale.ctl.document;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;

/** Reads the names of kinds that operators declare: plural or singular, in any case. */
public final class KindNames {
    private KindNames() {}

    /** The kind, if operators declare one of this name. */
    public static Optional<Kind> find(String text) {
        String lower = text.toLowerCase(Locale.ROOT);
        return declared().stream()
                .filter(kind -> lower.equals(kind.path()) || (lower + "s").equals(kind.path()))
                .findFirst();
    }

    /**
     * The kind of a command's argument.
     *
     * @throws CtlException USAGE if there is no such kind
     */
    public static Kind require(String text) {
        return find(text)
                .orElseThrow(
                        () ->
                                new CtlException(
                                        ExitCode.USAGE,
                                        "\"" + text + "\" is not a kind: expected " + all()));
    }

    /** The names of all kinds, for messages. */
    static String all() {
        return declared().stream().map(Kind::path).collect(Collectors.joining(", "));
    }

    private static List<Kind> declared() {
        return Arrays.stream(Kind.values()).filter(kind -> kind != Kind.ASSIGNMENTS).toList();
    }
}
