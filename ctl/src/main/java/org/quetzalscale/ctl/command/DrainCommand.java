package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.Command;
import org.quetzalscale.core.resource.Kind;

/** Give a worker no new work. */
@Command(name = "drain", description = "Give a worker no new work")
public final class DrainCommand extends SpecFieldCommand {
    /** Creates the command for the parser. */
    public DrainCommand() {
        super(Kind.WORKERS, "drain", true, "drain <worker>");
    }
}
