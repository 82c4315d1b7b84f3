package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.Command;
import org.quetzalscale.core.resource.Kind;

/** Withdraw a key. */
@Command(name = "revoke", description = "Withdraw a key")
public final class KeyRevokeCommand extends SpecFieldCommand {
    /** Creates the command for the parser. */
    public KeyRevokeCommand() {
        super(Kind.KEYS, "withdrawn", true, "key revoke <name>");
    }
}
