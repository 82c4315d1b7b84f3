package org.quetzalscale.ctl.command;

import java.util.List;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Names;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;

/** Checks the arguments of commands. */
final class CommandArguments {
    private CommandArguments() {}

    /** The arguments, if their number is within the range; fails with USAGE otherwise. */
    static List<String> require(List<String> arguments, int min, int max, String usage) {
        if (arguments.size() < min || arguments.size() > max) {
            throw new CtlException(ExitCode.USAGE, "expected: quetzalctl " + usage);
        }
        return arguments;
    }

    /** The name, if it is a valid one; fails with USAGE otherwise, before it is part of a path. */
    static String requireName(String field, String name) {
        try {
            return Names.requireName(field, name);
        } catch (QuetzalscaleException e) {
            throw new CtlException(ExitCode.USAGE, e.getMessage());
        }
    }
}
