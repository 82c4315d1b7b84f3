package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;

/** Shows the commands, or the options of one. */
@Command(name = "help", description = "Show the commands, or the options of one")
public final class HelpCommand implements CtlCommand {
    @AirlineModule private CommonOptions options = new CommonOptions();

    @AirlineModule private GlobalMetadata<CtlCommand> global;

    @Arguments(title = "command", description = "Command")
    private List<String> command = new ArrayList<>();

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public void run(Session session) {
        try {
            Help.help(global, command, session.out());
        } catch (IOException e) {
            throw new CtlException(ExitCode.USAGE, "help can not be shown: " + e);
        }
    }
}
