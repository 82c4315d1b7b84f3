package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import java.util.Map;

/** Shows the state of the fleet. */
@Command(name = "status", description = "Show revision, instances, pools and teams")
public final class StatusCommand implements CtlCommand {
    @AirlineModule private CommonOptions options = new CommonOptions();

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public void run(Session session) {
        session.print(session.client().read("/v1/status", Map.of()));
    }
}
