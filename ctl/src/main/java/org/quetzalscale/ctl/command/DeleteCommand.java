package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.apply.Action;
import org.quetzalscale.ctl.client.Resource;
import org.quetzalscale.ctl.document.KindNames;

/** Deletes a resource at the version that it has when the command starts. */
@Command(name = "delete", description = "Delete a resource")
public final class DeleteCommand implements CtlCommand {
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
        List<String> given = CommandArguments.require(arguments, 2, 2, "delete <kind> <name>");
        Kind kind = KindNames.require(given.get(0));
        String name = CommandArguments.requireName("name", given.get(1));
        Resource resource = session.resources().get(kind, name);
        ChangeReport report = new ChangeReport(session);
        report.add(Action.DELETED, resource, session.resources().delete(resource), "");
        report.finish();
    }
}
