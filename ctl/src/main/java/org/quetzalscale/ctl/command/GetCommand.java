package org.quetzalscale.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.client.Resource;
import org.quetzalscale.ctl.client.ResourceList;
import org.quetzalscale.ctl.document.KindNames;
import org.quetzalscale.ctl.output.ResourceView;
import org.quetzalscale.net.json.Json;

/** Shows the resources of a kind, or one of them. */
@Command(name = "get", description = "Show the resources of a kind, or one of them")
public final class GetCommand implements CtlCommand {
    @AirlineModule private CommonOptions options = new CommonOptions();

    @Arguments(
            title = {"kind", "name"},
            description = "Kind, and name of one resource")
    private List<String> arguments = new ArrayList<>();

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public void run(Session session) {
        List<String> given = CommandArguments.require(arguments, 1, 2, "get <kind> [name]");
        Kind kind = KindNames.require(given.get(0));
        if (given.size() == 2) {
            Resource resource =
                    session.resources()
                            .get(kind, CommandArguments.requireName("name", given.get(1)));
            if (options.json()) {
                session.print(resource.document());
            } else {
                session.out().print(ResourceView.table(kind, List.of(resource)));
            }
            return;
        }
        ResourceList list = session.resources().list(kind);
        if (!options.json()) {
            session.out().print(ResourceView.table(kind, list.items()));
            return;
        }
        ObjectNode document = Json.mapper().createObjectNode().put("revision", list.revision());
        var items = document.putArray("items");
        list.items().forEach(resource -> items.add(resource.document()));
        session.print(document);
    }
}
