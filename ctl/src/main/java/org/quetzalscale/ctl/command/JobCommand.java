package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Shows a job that the server's instance owns, and why its steps wait. */
@Command(name = "job", description = "Show a job's steps, and why they wait")
public final class JobCommand implements CtlCommand {
    @AirlineModule private CommonOptions options = new CommonOptions();

    @Arguments(
            title = {"id"},
            description = "Identifier of the job")
    private List<String> arguments = new ArrayList<>();

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public void run(Session session) {
        List<String> given = CommandArguments.require(arguments, 1, 1, "job <id>");
        String id = CommandArguments.requireName("id", given.get(0));
        session.print(session.client().read("/v1/jobs/" + id, Map.of()));
    }
}
