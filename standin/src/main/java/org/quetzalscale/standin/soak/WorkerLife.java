package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.quetzalscale.net.http.HttpReply;

/**
 * One incarnation of a worker: the tasks that run on it under a lease on its own clock, and the
 * ends that nobody has acknowledged. Thread-safe.
 */
final class WorkerLife {
    private static final int MAX_LEASE_MILLIS = 6_000;
    private static final int MAX_WAIT_MILLIS = 2_000;
    private static final int MAX_ENDS = 500;
    private static final int STOP_MILLIS = 300;
    private static final int STARTUP_MILLIS = 300;
    private static final int WHOLE_PERCENT = 100;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MILLIS_PER_SECOND = 1e3;

    private static final class Running {
        final String task;
        final long run;
        final long sinceMillis;
        final WorkPlan plan;
        final RunRecord.Entry entry;
        long stopAtMillis = Long.MAX_VALUE;

        Running(Order order, long nowMillis, RunRecord.Entry entry) {
            this.task = order.task();
            this.run = order.run();
            this.sinceMillis = nowMillis;
            this.plan = WorkPlan.of(order.body().path("spec").asText(), task, run);
            this.entry = entry;
        }

        /** When it ends, unless its lease expires before. */
        long endMillis() {
            return Math.min(stopAtMillis, ownEndMillis());
        }

        String how() {
            if (stopAtMillis < ownEndMillis()) {
                return "stopped";
            }
            return plan.fails() ? "failed" : "done";
        }

        private long ownEndMillis() {
            return plan.lasting() ? Long.MAX_VALUE : sinceMillis + plan.millis();
        }

        int percent(long nowMillis) {
            long whole = plan.lasting() ? STARTUP_MILLIS : plan.millis();
            int most = plan.lasting() ? WHOLE_PERCENT : WHOLE_PERCENT - 1;
            long percent = (nowMillis - sinceMillis) * WHOLE_PERCENT / Math.max(1, whole);
            return (int) Math.min(most, percent);
        }
    }

    private record End(long number, Running run, String how) {}

    private record Waiter(CompletableFuture<HttpReply> reply) {}

    private final String id;
    private final double clockRate;
    private final RunRecord record;
    private final Timeline timeline;
    private final Scheduler scheduler;
    private final long bornMillis = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long lastEnd;
    private long fence;
    private long leaseUntilMillis;
    private boolean leaseHeld;
    private boolean over;

    /**
     * Begins a life.
     *
     * @param clockRate the speed of its clock, at most 1
     */
    WorkerLife(
            String id, double clockRate, RunRecord record, Timeline timeline, Scheduler scheduler) {
        this.id = id;
        this.clockRate = clockRate;
        this.record = record;
        this.timeline = timeline;
        this.scheduler = scheduler;
    }

    String id() {
        return id;
    }

    long bornMillis() {
        return bornMillis;
    }

    private String name() {
        return id + "/" + bornMillis;
    }

    private long clockMillis() {
        return (long) ((System.nanoTime() - bornNanos) * clockRate) / NANOS_PER_MILLI;
    }

    /** Ends the life with everything that runs; it accepts nothing from now on. */
    synchronized void stop() {
        over = true;
        running.values().forEach(run -> record.ended(run.entry, "gone", timeline.seconds()));
        running.clear();
        waiters.forEach(waiter -> waiter.reply().complete(WireServer.RESET));
        waiters.clear();
    }

    synchronized boolean isIdle() {
        return running.isEmpty();
    }

    /** Carries out a call of a node. */
    synchronized CompletionStage<HttpReply> carryOut(Order order) {
        if (over) {
            return CompletableFuture.completedFuture(WireServer.RESET);
        }
        tick();
        if (order.fence() < fence) {
            return CompletableFuture.completedFuture(refuse("fence"));
        }
        if (order.fence() > fence) {
            timeline.add("%s: fence %d by %s", name(), order.fence(), order.caller());
            fence = order.fence();
        }
        return switch (order.path()) {
            case "/v1/run-start" -> CompletableFuture.completedFuture(start(order));
            case "/v1/run-stop" -> CompletableFuture.completedFuture(stop(order));
            case "/v1/hold" -> hold(order);
            case "/v1/pace" -> CompletableFuture.completedFuture(HttpReply.json(200, answer()));
            default -> CompletableFuture.completedFuture(HttpReply.json(404, answer()));
        };
    }

    ObjectNode answer() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("clockMs", clockMillis())
                .put("born", bornMillis);
    }

    private HttpReply refuse(String reason) {
        return HttpReply.json(409, answer().put("reason", reason));
    }

    private HttpReply start(Order order) {
        Running present = running.get(order.task());
        if (present != null && present.run == order.run()) {
            return HttpReply.json(200, answer());
        }
        if (order.deadlineMillis() <= clockMillis()) {
            return refuse("late");
        }
        extendLease(order.deadlineMillis());
        if (present != null || order.run() <= highestEnded.getOrDefault(order.task(), 0L)) {
            return refuse("old");
        }
        RunRecord.Entry entry =
                record.started(order.task(), order.run(), name(), order.caller(), order.late());
        running.put(order.task(), new Running(order, clockMillis(), entry));
        return HttpReply.json(200, answer());
    }

    private void extendLease(long deadlineMillis) {
        long longest = clockMillis() + MAX_LEASE_MILLIS;
        leaseUntilMillis = Math.max(leaseUntilMillis, Math.min(deadlineMillis, longest));
        leaseHeld = true;
    }

    private HttpReply stop(Order order) {
        Running present = running.get(order.task());
        if (present != null && present.run <= order.run()) {
            present.stopAtMillis = Math.min(present.stopAtMillis, clockMillis() + STOP_MILLIS);
        }
        highestEnded.merge(order.task(), order.run(), Math::max);
        return HttpReply.json(200, answer());
    }

    private CompletionStage<HttpReply> hold(Order order) {
        if (order.deadlineMillis() > 0) {
            extendLease(order.deadlineMillis());
        }
        acknowledge(order.body().path("ackCursor").asLong(0), order.caller());
        long wait = Math.min(MAX_WAIT_MILLIS, order.body().path("waitMs").asLong(0));
        if (!ends.isEmpty() || wait <= 0) {
            return CompletableFuture.completedFuture(lists());
        }
        Waiter waiter = new Waiter(new CompletableFuture<>());
        waiters.add(waiter);
        scheduler.after(wait, () -> answerWaiter(waiter));
        return waiter.reply();
    }

    private void acknowledge(long cursor, String caller) {
        for (End end : ends) {
            if (end.number() <= cursor) {
                record.acknowledged(end.run().entry, caller);
            }
        }
        ends.removeIf(end -> end.number() <= cursor);
    }

    private synchronized void answerWaiter(Waiter waiter) {
        if (waiters.remove(waiter)) {
            waiter.reply().complete(lists());
        }
    }

    private HttpReply lists() {
        ObjectNode body = answer();
        ArrayNode rows = body.putArray("running");
        long now = clockMillis();
        for (Running run : running.values()) {
            rows.addArray().add(run.task).add(run.run).add("").add(run.percent(now)).add(0);
        }
        ArrayNode finished = body.putArray("finished");
        for (End end : ends.subList(0, Math.min(MAX_ENDS, ends.size()))) {
            finished.addArray()
                    .add(end.number())
                    .add(end.run().task)
                    .add(end.run().run)
                    .add(end.how())
                    .add("");
        }
        return HttpReply.json(200, body);
    }

    /**
     * Ends what is over: by itself, by an order or because the lease has expired. The record shows
     * the time at which it was over, however late the call.
     */
    synchronized void tick() {
        long now = clockMillis();
        long until = leaseHeld ? Math.min(now, leaseUntilMillis) : now;
        for (Running run : List.copyOf(running.values())) {
            if (run.endMillis() <= until) {
                end(run, run.how(), run.endMillis());
            }
        }
        if (leaseHeld && now >= leaseUntilMillis) {
            lapse();
        }
    }

    private void lapse() {
        leaseHeld = false;
        timeline.add("%s: lease expired, %d runs", name(), running.size());
        ends.forEach(end -> record.lapsed(end.run().entry));
        for (Running run : List.copyOf(running.values())) {
            end(run, "lapsed", leaseUntilMillis);
        }
    }

    private void end(Running run, String how, long atMillis) {
        running.remove(run.task);
        highestEnded.merge(run.task, run.run, Math::max);
        ends.add(new End(++lastEnd, run, how));
        double ago = (clockMillis() - atMillis) / (MILLIS_PER_SECOND * clockRate);
        record.ended(run.entry, how, timeline.seconds() - ago);
        List.copyOf(waiters).forEach(this::answerWaiter);
    }
}
