package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;

/** The commands of quetzalctl. */
@Cli(
        name = "quetzalctl",
        description = "Declares and shows the resources of a quetzalscale deployment",
        commands = {
            ApplyCommand.class,
            GetCommand.class,
            DescribeCommand.class,
            WatchCommand.class,
            DeleteCommand.class,
            DrainCommand.class,
            UndrainCommand.class,
            StatusCommand.class,
            JobCommand.class,
            HelpCommand.class
        },
        groups = {
            @Group(
                    name = "key",
                    description = "Create and revoke keys",
                    commands = {KeyCreateCommand.class, KeyRevokeCommand.class}),
            @Group(
                    name = "wave",
                    description = "Pause, resume and abort maintenance waves",
                    commands = {
                        WavePauseCommand.class,
                        WaveResumeCommand.class,
                        WaveAbortCommand.class
                    })
        })
final class CtlCli {
    private CtlCli() {}
}
