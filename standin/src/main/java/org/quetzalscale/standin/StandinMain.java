package org.quetzalscale.standin;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.standin.experiment.ExperimentCommand;
import org.quetzalscale.standin.load.LoadCommand;
import org.quetzalscale.standin.platform.PlatformCommand;
import org.quetzalscale.standin.soak.SoakCommand;
import org.quetzalscale.standin.target.TargetCommand;

/** Entry point of the stand-ins and tools. */
@Cli(
        name = "standin",
        description = "Stand-ins for the platform and for targets, and a load tool",
        defaultCommand = Help.class,
        commands = {
            PlatformCommand.class,
            TargetCommand.class,
            LoadCommand.class,
            ExperimentCommand.class,
            SoakCommand.class,
            Help.class
        })
public final class StandinMain {
    private static final int USAGE_EXIT_CODE = 2;

    private StandinMain() {}

    /** Runs the program; exits with 2 if the arguments are wrong. */
    public static void main(String[] args) {
        Runnable command;
        try {
            command = new com.github.rvesse.airline.Cli<Runnable>(StandinMain.class).parse(args);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_EXIT_CODE);
            return;
        }
        try {
            command.run();
        } catch (QuetzalscaleException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_EXIT_CODE);
        }
    }
}
