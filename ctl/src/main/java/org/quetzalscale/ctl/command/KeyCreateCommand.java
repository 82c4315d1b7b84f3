package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.id.KeyId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.resource.KeySecret;
import org.quetzalscale.core.resource.KeySpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;
import org.quetzalscale.ctl.apply.Action;
import org.quetzalscale.ctl.client.Resource;
import org.quetzalscale.ctl.client.Written;

/**
 * Creates a key for a team and shows its secret once. The secret is made here and only its hash is
 * sent, so a lost answer loses no key, and no server or log ever holds the secret.
 */
@Command(name = "create", description = "Create a key for a team and show its secret once")
public final class KeyCreateCommand implements CtlCommand {
    @AirlineModule private CommonOptions options = new CommonOptions();

    @Option(name = "--team", title = "team", description = "Team that the key is for")
    private String team;

    @Arguments(title = "name", description = "Name of the key")
    private List<String> arguments = new ArrayList<>();

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public void run(Session session) {
        String name =
                CommandArguments.requireName(
                        "key",
                        CommandArguments.require(arguments, 1, 1, "key create <name> --team <team>")
                                .get(0));
        if (team == null) {
            throw new CtlException(ExitCode.USAGE, "key create requires --team <team>");
        }
        TeamId teamId = new TeamId(CommandArguments.requireName("team", team));
        byte[] bits = new byte[KeySecret.RANDOM_BYTES];
        new SecureRandom().nextBytes(bits);
        KeySecret secret = KeySecret.of(new KeyId(name), bits);
        Resource resource =
                Resource.declared(Kind.KEYS, name, new KeySpec(teamId, secret.hash(), false));
        Written written = session.resources().create(resource);
        ChangeReport report = new ChangeReport(session);
        report.add(Action.CREATED, resource, written, "");
        report.secret(secret.reveal());
        report.finish();
    }
}
