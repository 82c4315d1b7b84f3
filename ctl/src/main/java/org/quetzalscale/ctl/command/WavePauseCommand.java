package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.Command;
import org.quetzalscale.core.resource.Kind;

/** Drain no further worker of a wave for now. */
@Command(name = "pause", description = "Drain no further worker of a wave for now")
public final class WavePauseCommand extends SpecFieldCommand {
    /** Creates the command for the parser. */
    public WavePauseCommand() {
        super(Kind.WAVES, "paused", true, "wave pause <wave>");
    }
}
