package org.quetzalscale.daemon.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.retry.Intent;
import org.quetzalscale.core.retry.IntentLog;
import org.quetzalscale.core.retry.RecordedOutcome;
import org.tinylog.Logger;

/** Buffers the answer to a request with an idempotency key and records it when complete. */
final class OutcomeRecorder {
    private static final int RETRY_MILLIS = 500;
    private static final int MAX_ATTEMPTS = 5;

    private final IntentLog intents;
    private final Intent intent;
    private final EventLoop loop;
    private final BodyBuffer body;
    private final List<String> headers = new ArrayList<>();
    private int status;
    private boolean tooLarge;

    OutcomeRecorder(
            IntentLog intents,
            Intent intent,
            EventLoop loop,
            ByteBufAllocator allocator,
            BufferBudget budget) {
        this.intents = intents;
        this.intent = intent;
        this.loop = loop;
        this.body = new BodyBuffer(allocator, budget, -1);
    }

    void head(HttpResponse head) {
        status = head.status().code();
        headers.clear();
        EndToEndHeaders.ofAnswer(head.headers())
                .forEach(
                        header -> {
                            headers.add(header.getKey());
                            headers.add(header.getValue());
                        });
    }

    void content(ByteBuf part) {
        if (tooLarge) {
            return;
        }
        if (body.size() + part.readableBytes() > RecordedOutcome.MAX_BODY_BYTES
                || !body.append(part)) {
            tooLarge = true;
            body.release();
        }
    }

    /** Discards the buffered answer, because it is incomplete. */
    void discard() {
        body.release();
    }

    /** Records the complete answer, then runs the callback on the event loop. */
    void complete(Runnable ended) {
        RecordedOutcome outcome =
                new RecordedOutcome(status, headers, tooLarge ? null : body.copy());
        record(
                outcome,
                1,
                () -> {
                    body.release();
                    ended.run();
                });
    }

    private void record(RecordedOutcome outcome, int attempt, Runnable ended) {
        intents.complete(intent, outcome)
                .whenComplete(
                        (done, failure) ->
                                loop.execute(() -> afterRecord(outcome, attempt, failure, ended)));
    }

    private void afterRecord(
            RecordedOutcome outcome, int attempt, Throwable failure, Runnable ended) {
        if (failure == null) {
            ended.run();
            return;
        }
        ErrorKind kind = QuetzalscaleException.from(failure).kind();
        if (kind == ErrorKind.STORE_UNAVAILABLE && attempt < MAX_ATTEMPTS) {
            loop.schedule(
                    () -> record(outcome, attempt + 1, ended), RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        Logger.warn(
                "outcome of intent {} is not recorded after {} attempts: {}",
                intent.row(),
                attempt,
                kind.code());
        ended.run();
    }
}
