package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.ParseResult;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;
import org.quetzalscale.ctl.client.OperatorClient;
import org.quetzalscale.ctl.client.ServerAddresses;
import org.quetzalscale.ctl.client.Timing;
import org.quetzalscale.net.EventLoops;

/** Parses a command line, runs its command and turns failures into messages and exit codes. */
public final class CtlRunner {
    private static final Set<String> HELP_FLAGS = Set.of("-h", "--help");

    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;
    private final Timing timing;
    private final int callTimeoutMillis;

    /**
     * Creates a runner.
     *
     * @param out receives results
     * @param err receives notes and errors
     * @param callTimeoutMillis time limit of each call to one server
     */
    public CtlRunner(
            Map<String, String> environment,
            PrintStream out,
            PrintStream err,
            Timing timing,
            int callTimeoutMillis) {
        this.environment = Map.copyOf(environment);
        this.out = out;
        this.err = err;
        this.timing = timing;
        this.callTimeoutMillis = callTimeoutMillis;
    }

    /** Runs one command line. */
    public ExitCode run(String... arguments) {
        Cli<CtlCommand> cli = new Cli<>(CtlCli.class);
        try {
            if (arguments.length > 0 && HELP_FLAGS.contains(arguments[0])) {
                Help.help(cli.getMetadata(), List.of(), out);
                return ExitCode.DONE;
            }
            ParseResult<CtlCommand> parsed = cli.parseWithResult(List.of(arguments));
            CtlCommand command = parsed.getCommand();
            if (command.options().help()) {
                Help.help(cli.getMetadata(), commandPath(parsed), out);
                return ExitCode.DONE;
            }
            run(command);
            return ExitCode.DONE;
        } catch (CtlException e) {
            err.println("quetzalctl: " + e.getMessage());
            return e.exitCode();
        } catch (ParseException | IOException e) {
            err.println("quetzalctl: " + e.getMessage() + "; see quetzalctl help");
            return ExitCode.USAGE;
        }
    }

    private static List<String> commandPath(ParseResult<CtlCommand> parsed) {
        List<String> path = new ArrayList<>();
        if (parsed.getState().getGroup() != null) {
            path.add(parsed.getState().getGroup().getName());
        }
        path.add(parsed.getState().getCommand().getName());
        return path;
    }

    private void run(CtlCommand command) {
        CommonOptions options = command.options();
        EventLoopGroup group = EventLoops.create(1, "quetzalctl");
        OperatorClient client =
                new OperatorClient(
                        ServerAddresses.parse(options.servers(environment)),
                        options.token(environment),
                        group,
                        callTimeoutMillis);
        try {
            command.run(new Session(client, options, timing, out, err));
        } finally {
            client.stop();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
