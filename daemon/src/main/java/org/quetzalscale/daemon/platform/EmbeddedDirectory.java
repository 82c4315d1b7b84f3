package org.quetzalscale.daemon.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.core.fleet.InstanceDirectory;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;

/** The list of machines of a process that is alone: itself, without a lag and without workers. */
final class EmbeddedDirectory implements InstanceDirectory {
    private volatile Member self;
    private volatile boolean registered;

    EmbeddedDirectory(Member self) {
        this.self = self;
    }

    @Override
    public CompletionStage<List<Member>> list(MemberRole role) {
        Member member = self;
        return CompletableFuture.completedFuture(
                registered && member.role() == role ? List.of(member) : List.of());
    }

    CompletionStage<Void> register() {
        registered = true;
        return CompletableFuture.completedFuture(null);
    }

    CompletionStage<Void> leave() {
        Member member = self;
        self =
                new Member(
                        member.name(),
                        member.role(),
                        member.zone(),
                        member.address(),
                        MemberState.LEAVING);
        return CompletableFuture.completedFuture(null);
    }
}
