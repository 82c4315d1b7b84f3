package org.quetzalscale.daemon.caller;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpReply;

/** Processes an API call of a team, which this process answers itself. */
final class TeamCall implements CallerTask {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final CallerContext context;
    private final CallerConnection connection;
    private final HttpRequest request;
    private final String requestId;
    private final VerifiedKey key;
    private final EventLoop loop;
    private final BodyBuffer bodyBuffer;
    private final long arrivalMillis;
    private ScheduledFuture<?> bodyTimer;
    private boolean called;
    private boolean ended;

    TeamCall(
            CallerContext context,
            CallerConnection connection,
            HttpRequest request,
            String requestId,
            VerifiedKey key,
            EventLoop loop) {
        this.context = context;
        this.connection = connection;
        this.request = request;
        this.requestId = requestId;
        this.key = key;
        this.loop = loop;
        this.bodyBuffer = new BodyBuffer(connection.allocator(), context.budget(), -1);
        this.arrivalMillis = context.time().nowMillis();
    }

    @Override
    public void start() {
        context.running().incrementAndGet();
        bodyTimer =
                loop.schedule(
                        () -> fail(RequestErrors.bodyTooSlow()),
                        context.limits().headMillis(),
                        TimeUnit.MILLISECONDS);
        connection.readBody();
    }

    @Override
    public void body(HttpContent part) {
        if (called || ended) {
            part.release();
            return;
        }
        boolean withinBudget = bodyBuffer.append(part.content());
        boolean last = part instanceof LastHttpContent;
        part.release();
        if (bodyBuffer.size() > MAX_BODY_BYTES) {
            fail(
                    new QuetzalscaleException(
                            ErrorKind.BODY_TOO_LARGE,
                            "the body has more than " + MAX_BODY_BYTES + " bytes"));
        } else if (!withinBudget) {
            fail(RequestErrors.buffersFull());
        } else if (last) {
            call();
        } else {
            connection.readBody();
        }
    }

    @Override
    public void bodyMalformed(String reason) {
        fail(RequestErrors.bodyMalformed(reason));
    }

    @Override
    public void callerWritable() {
        // Nothing to continue: the answer is written in one piece.
    }

    @Override
    public void callerDisconnected() {
        if (!ended) {
            end(Optional.empty(), 0);
            countEnded();
        }
    }

    private void call() {
        called = true;
        bodyTimer.cancel(false);
        CompletionStage<HttpReply> reply;
        try {
            reply = context.teamHandler().handle(key.team(), toCall());
        } catch (RuntimeException e) {
            reply = CompletableFuture.failedFuture(e);
        }
        reply.whenComplete(
                (value, failure) ->
                        loop.execute(
                                () -> {
                                    if (failure == null) {
                                        answer(value);
                                    } else {
                                        fail(QuetzalscaleException.from(failure));
                                    }
                                }));
    }

    private HttpCall toCall() {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        Map<String, String> headers = new HashMap<>();
        EndToEndHeaders.ofRequest(request.headers())
                .forEach(
                        header ->
                                headers.putIfAbsent(
                                        header.getKey().toLowerCase(Locale.ROOT),
                                        header.getValue()));
        return new HttpCall(
                request.method(), uri.path(), uri.parameters(), headers, bodyBuffer.copy());
    }

    private void answer(HttpReply reply) {
        if (!ended) {
            end(Optional.empty(), reply.status());
            connection.answer(reply, requestId);
            countEnded();
        }
    }

    private void fail(QuetzalscaleException error) {
        if (!ended) {
            end(Optional.of(error.kind()), error.kind().httpStatus());
            connection.answerError(error, requestId);
            countEnded();
        }
    }

    private void countEnded() {
        context.running().decrementAndGet();
    }

    private void end(Optional<ErrorKind> error, int status) {
        ended = true;
        bodyTimer.cancel(false);
        bodyBuffer.release();
        long totalMillis = context.time().nowMillis() - arrivalMillis;
        context.observer()
                .ended(
                        new RequestRecord(
                                Optional.of(key.team()),
                                Optional.empty(),
                                error,
                                status,
                                false,
                                0,
                                totalMillis));
    }
}
