package org.quetzalscale.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.apply.Action;
import org.quetzalscale.ctl.client.Resource;
import org.quetzalscale.net.json.SpecJson;

/** Sets one boolean field of one resource and leaves the others as they are. */
abstract class SpecFieldCommand implements CtlCommand {
    private static final int MAX_ATTEMPTS = 5;
    private static final long CONFLICT_PAUSE_MILLIS = 200;

    @AirlineModule private CommonOptions options = new CommonOptions();

    @Arguments(title = "name", description = "Name of the resource")
    private List<String> arguments = new ArrayList<>();

    private final Kind kind;
    private final String field;
    private final boolean value;
    private final String usage;

    SpecFieldCommand(Kind kind, String field, boolean value, String usage) {
        this.kind = kind;
        this.field = field;
        this.value = value;
        this.usage = usage;
    }

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public void run(Session session) {
        String name = CommandArguments.require(arguments, 1, 1, usage).get(0);
        CommandArguments.requireName("name", name);
        ChangeReport report = new ChangeReport(session);
        for (int attempt = 1; ; attempt++) {
            try {
                write(session, name, report);
                break;
            } catch (CtlException e) {
                // Another operation changed the resource between the read and the write.
                boolean conflict =
                        e.errorCode().filter(ErrorKind.VERSION_CONFLICT.code()::equals).isPresent();
                if (!conflict || attempt == MAX_ATTEMPTS) {
                    throw e;
                }
                session.timing().pause().accept(CONFLICT_PAUSE_MILLIS);
            }
        }
        report.finish();
    }

    private void write(Session session, String name, ChangeReport report) {
        Resource present = session.resources().get(kind, name);
        ObjectNode spec = SpecJson.write(present.parsedSpec());
        if (spec.path(field).asBoolean() == value) {
            report.addUnchanged(present);
            return;
        }
        spec.put(field, value);
        Resource changed = present.withSpec(SpecJson.read(kind, spec));
        report.add(Action.CHANGED, changed, session.resources().replace(changed), "");
    }
}
