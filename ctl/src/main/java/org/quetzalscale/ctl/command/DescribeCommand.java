package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.document.KindNames;

/** Shows every field of a resource and its status. */
@Command(name = "describe", description = "Show every field of a resource and its status")
public final class DescribeCommand implements CtlCommand {
    @AirlineModule private CommonOptions options = new CommonOptions();

    @Arguments(
            title = {"kind", "name"},
            description = "Kind and name")
    private List<String> arguments = new ArrayList<>();

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public void run(Session session) {
        List<String> given = CommandArguments.require(arguments, 2, 2, "describe <kind> <name>");
        Kind kind = KindNames.require(given.get(0));
        String name = CommandArguments.requireName("name", given.get(1));
        session.print(session.resources().get(kind, name).document());
    }
}
