package org.quetzalscale.standin.platform;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

/** Lets calls to one part of the platform through, or fails them as its rules say. */
final class FaultGate {
    static final String CALLER_HEADER = "quetzalscale-instance";

    // Well over the callers' time limit of 1 s; the late answer frees the server's connection.
    private static final long LOST_ANSWER_MILLIS = 10_000;

    private final String part;
    private final EventLoopGroup group;
    private final List<Active> rules = new ArrayList<>();

    FaultGate(String part, EventLoopGroup group) {
        this.part = part;
        this.group = group;
    }

    synchronized void set(List<FaultRule> replacement) {
        rules.clear();
        replacement.forEach(this::add);
    }

    synchronized void add(FaultRule rule) {
        rules.add(new Active(rule));
    }

    CompletionStage<HttpReply> pass(HttpCall call, Supplier<CompletionStage<HttpReply>> effect) {
        Optional<FaultRule> rule = take(call);
        if (rule.isEmpty()) {
            return effect.get();
        }
        long delayMillis = rule.get().delayMillis();
        return switch (rule.get().mode()) {
            case DOWN ->
                    CompletableFuture.failedFuture(
                            new QuetzalscaleException(
                                    ErrorKind.STORE_UNAVAILABLE, part + " is down"));
            case SLOW ->
                    after(delayMillis / 2)
                            .thenCompose(ignored -> effect.get())
                            .thenCompose(
                                    reply ->
                                            after(delayMillis - delayMillis / 2)
                                                    .thenApply(ignored -> reply));
            case LOSE_ANSWER -> {
                effect.get();
                yield lost();
            }
            case SILENT -> lost();
            case FREEZE -> effect.get();
        };
    }

    private synchronized Optional<FaultRule> take(HttpCall call) {
        if (rules.isEmpty()) {
            return Optional.empty();
        }
        String caller = call.header(CALLER_HEADER).orElse("");
        String text = call.path() + call.query() + new String(call.body(), StandardCharsets.UTF_8);
        for (Active active : rules) {
            if (active.applies(caller, text)) {
                active.used++;
                return Optional.of(active.rule);
            }
        }
        return Optional.empty();
    }

    private CompletionStage<HttpReply> lost() {
        return after(LOST_ANSWER_MILLIS)
                .thenApply(
                        ignored ->
                                HttpReply.error(
                                        new QuetzalscaleException(
                                                ErrorKind.INTERNAL, "the answer was lost"),
                                        ""));
    }

    private CompletionStage<Void> after(long delayMillis) {
        CompletableFuture<Void> passed = new CompletableFuture<>();
        group.next().schedule(() -> passed.complete(null), delayMillis, TimeUnit.MILLISECONDS);
        return passed;
    }

    /** A rule with the number of calls that it was applied to. */
    private static final class Active {
        private final FaultRule rule;
        private int used;

        private Active(FaultRule rule) {
            this.rule = rule;
        }

        private boolean applies(String caller, String text) {
            return rule.mode() != FaultMode.FREEZE
                    && (rule.calls() == 0 || used < rule.calls())
                    && (rule.caller().isEmpty() || rule.caller().equals(caller))
                    && text.contains(rule.match());
        }
    }
}
