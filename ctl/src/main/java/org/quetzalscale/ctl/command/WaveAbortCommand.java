package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.Command;
import org.quetzalscale.core.resource.Kind;

/** End a wave and return its workers to service. */
@Command(name = "abort", description = "End a wave and return its workers to service")
public final class WaveAbortCommand extends SpecFieldCommand {
    /** Creates the command for the parser. */
    public WaveAbortCommand() {
        super(Kind.WAVES, "aborted", true, "wave abort <wave>");
    }
}
