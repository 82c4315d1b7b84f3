package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.Command;
import org.quetzalscale.core.resource.Kind;

/** Give a drained worker work again. */
@Command(name = "undrain", description = "Give a drained worker work again")
public final class UndrainCommand extends SpecFieldCommand {
    /** Creates the command for the parser. */
    public UndrainCommand() {
        super(Kind.WORKERS, "drain", false, "undrain <worker>");
    }
}
