package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;

/** The commands of quetzalctl. */
@Cli(
        name = "quetzalctl",
        description = "Declares and shows the resources of a quetzalscale deployment",
        commands = {ApplyCommand.class, GetCommand.class, StatusCommand.class, HelpCommand.class},
        groups = {
            @Group(
                    name = "key",
                    description = "Create and revoke keys",
                    commands = {KeyCreateCommand.class})
        })
final class CtlCli {
    private CtlCli() {}
}
