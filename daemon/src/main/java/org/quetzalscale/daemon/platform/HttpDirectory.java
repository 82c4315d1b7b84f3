package org.quetzalscale.daemon.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.fleet.InstanceDirectory;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.net.json.Json;
import org.quetzalscale.net.platform.FleetMessages;

/** The platform's list of machines over HTTP, with the registration of this process. */
final class HttpDirectory implements InstanceDirectory {
    private static final byte[] NO_BODY = {};

    private final PlatformClient client;

    HttpDirectory(PlatformClient client) {
        this.client = client;
    }

    @Override
    public CompletionStage<List<Member>> list(MemberRole role) {
        return client.read(
                "/v1/machines",
                Map.of("role", textOf(role)),
                reply ->
                        Json.read(reply.body(), FleetMessages.Machines.class).machines().stream()
                                .map(FleetMessages.MachineMessage::toMember)
                                .toList());
    }

    /** Registers this process; may be repeated. */
    CompletionStage<Void> register(Member self) {
        return client.write(
                HttpMethod.PUT,
                pathOf(self),
                new FleetMessages.Registration(
                        self.zone().value(), self.address(), ProcessHandle.current().pid()),
                reply -> null);
    }

    /** Reports this process as LEAVING; may be repeated. */
    CompletionStage<Void> leave(Member self) {
        return client.write(
                HttpMethod.POST, pathOf(self) + "/leaving", Map.of(), NO_BODY, reply -> null);
    }

    private static String pathOf(Member member) {
        return "/v1/machines/" + textOf(member.role()) + "/" + member.name();
    }

    private static String textOf(MemberRole role) {
        return role.name().toLowerCase(Locale.ROOT);
    }
}
