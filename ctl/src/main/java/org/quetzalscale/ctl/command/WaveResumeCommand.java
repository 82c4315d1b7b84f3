package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.Command;
import org.quetzalscale.core.resource.Kind;

/** Continue a paused wave. */
@Command(name = "resume", description = "Continue a paused wave")
public final class WaveResumeCommand extends SpecFieldCommand {
    /** Creates the command for the parser. */
    public WaveResumeCommand() {
        super(Kind.WAVES, "paused", false, "wave resume <wave>");
    }
}
