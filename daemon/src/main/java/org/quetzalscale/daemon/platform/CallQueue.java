package org.quetzalscale.daemon.platform;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpCallException;
import org.quetzalscale.net.http.HttpReply;

/**
 * Bounds the calls in flight. Without the bound, calls that a slow platform holds up each open a
 * connection and time out with an unknown outcome; a call that waits here is known not to be sent.
 */
final class CallQueue {
    // A call sent with less time left would mostly end with an unknown outcome.
    private static final int MIN_REMAINING_MILLIS = 100;

    private final Sender sender;
    private final TimeSource time;
    private final int maxInFlight;
    private final int limitMillis;
    private final Queue<Waiting> waiting = new ArrayDeque<>();
    private int inFlight;

    /** Sends a call with a time limit in ms; every stage ends by then. */
    @FunctionalInterface
    interface Sender {
        CompletionStage<HttpReply> send(HttpCall call, int limitMillis);
    }

    /**
     * Creates a queue.
     *
     * @param limitMillis time limit of a call, its time in the queue included
     */
    CallQueue(Sender sender, TimeSource time, int maxInFlight, int limitMillis) {
        this.sender = sender;
        this.time = time;
        this.maxInFlight = maxInFlight;
        this.limitMillis = limitMillis;
    }

    /** Sends the call when its turn comes; fails as the client does. */
    CompletionStage<HttpReply> send(HttpCall call) {
        Waiting next = new Waiting(call, new CompletableFuture<>(), time.nowMillis() + limitMillis);
        synchronized (this) {
            if (inFlight >= maxInFlight) {
                waiting.add(next);
                return next.reply;
            }
            inFlight++;
        }
        transmit(next, limitMillis);
        return next.reply;
    }

    private void transmit(Waiting next, int remainingMillis) {
        CompletionStage<HttpReply> answer;
        try {
            answer = sender.send(next.call, remainingMillis);
        } catch (RuntimeException e) {
            // Event loops that were shut down refuse to connect.
            answer = CompletableFuture.failedFuture(HttpCallException.notSent(e));
        }
        answer.whenComplete(
                (reply, failure) -> {
                    sendNext();
                    if (failure == null) {
                        next.reply.complete(reply);
                    } else {
                        next.reply.completeExceptionally(failure);
                    }
                });
    }

    /**
     * Gives the place of a call that ended to the next one. Each call in flight ends within the
     * time limit, so no call waits here for longer than that.
     */
    private void sendNext() {
        while (true) {
            Waiting next;
            synchronized (this) {
                next = waiting.poll();
                if (next == null) {
                    inFlight--;
                    return;
                }
            }
            long remainingMillis = next.deadlineMillis - time.nowMillis();
            if (remainingMillis >= MIN_REMAINING_MILLIS) {
                transmit(next, (int) remainingMillis);
                return;
            }
            next.reply.completeExceptionally(
                    HttpCallException.notSent(
                            new TimeoutException(
                                    maxInFlight
                                            + " calls were in flight for "
                                            + limitMillis
                                            + " ms")));
        }
    }

    private record Waiting(
            HttpCall call, CompletableFuture<HttpReply> reply, long deadlineMillis) {}
}
