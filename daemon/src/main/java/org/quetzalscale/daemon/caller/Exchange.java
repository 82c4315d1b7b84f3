package org.quetzalscale.daemon.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.queue.AdmissionRequest;
import org.quetzalscale.core.queue.AdmittedRequest;
import org.quetzalscale.core.queue.AttemptOutcome;
import org.quetzalscale.core.retry.IntentResult;
import org.quetzalscale.core.retry.RecordedOutcome;
import org.quetzalscale.daemon.target.TargetConnection;

/**
 * Processes one request of a caller from its validated head to the end of its answer. All methods
 * run on the event loop of the caller's connection.
 *
 * <p>A body that fits in the buffer is read completely before the request asks for admission, so
 * that a slow caller occupies no worker and the request can be retried.
 */
final class Exchange implements CallerTask, AttemptListener {
    private enum Phase {
        BODY,
        INTENT,
        ADMISSION,
        CONNECTING,
        SENT,
        ANSWERING,
        ENDED
    }

    private static final int MAX_ATTEMPTS = 3;
    private static final int FIRST_FAILURE_STATUS = 500;

    private final CallerContext context;
    private final CallerConnection connection;
    private final CallerRequest request;
    private final EventLoop loop;
    private final BodyBuffer bodyBuffer;
    private final IntentHandle intent;
    // Null for a request without an idempotency key.
    private final Fingerprint fingerprint;
    private Phase phase = Phase.BODY;
    private boolean wholeBodyBuffered;
    // False once a part of the body was streamed to a target without being buffered.
    private boolean bodyRetained = true;
    private boolean callerDisconnected;
    // Stays true once an attempt may have run, so that a later refusal is not reported as "not
    // run".
    private boolean mayHaveRun;
    private boolean mayHaveRunBefore;
    private int attempts;
    private CompletionStage<AdmittedRequest> admission;
    private AdmittedRequest admittedRequest;
    private Attempt attempt;
    private OutcomeRecorder recorder;
    private ScheduledFuture<?> deadline;
    private int status;
    private long admittedMillis = -1;

    Exchange(
            CallerContext context,
            CallerConnection connection,
            CallerRequest request,
            EventLoop loop) {
        this.context = context;
        this.connection = connection;
        this.request = request;
        this.loop = loop;
        this.bodyBuffer =
                new BodyBuffer(connection.allocator(), context.budget(), request.contentLength());
        this.intent = new IntentHandle(context.intents(), loop);
        this.fingerprint = request.isKeyed() ? new Fingerprint(request) : null;
    }

    @Override
    public void start() {
        context.running().incrementAndGet();
        deadline = loop.schedule(this::deadlinePassed, remainingMillis(), TimeUnit.MILLISECONDS);
        if (request.isKeyed() && request.contentLength() > context.limits().keyedBodyBytes()) {
            fail(
                    AttemptOutcome.ABANDONED,
                    RequestErrors.keyedBodyTooLarge(context.limits().keyedBodyBytes()));
        } else if (!request.isKeyed()
                && request.contentLength() > context.limits().keptBodyBytes()) {
            bodyComplete(false);
        } else {
            connection.readBody();
        }
    }

    @Override
    public void body(HttpContent part) {
        if (attempt != null) {
            attempt.sendBody(part);
            return;
        }
        if (phase != Phase.BODY) {
            part.release();
            return;
        }
        boolean last = part instanceof LastHttpContent;
        boolean withinBudget = bodyBuffer.append(part.content());
        if (fingerprint != null) {
            fingerprint.add(part.content());
        }
        part.release();
        if (request.isKeyed() && bodyBuffer.size() > context.limits().keyedBodyBytes()) {
            fail(
                    AttemptOutcome.ABANDONED,
                    RequestErrors.keyedBodyTooLarge(context.limits().keyedBodyBytes()));
        } else if (request.isKeyed() && !withinBudget) {
            fail(AttemptOutcome.ABANDONED, RequestErrors.buffersFull());
        } else if (last) {
            bodyComplete(true);
        } else if (!request.isKeyed()
                && (!withinBudget || bodyBuffer.size() >= context.limits().keptBodyBytes())) {
            bodyComplete(false);
        } else {
            connection.readBody();
        }
    }

    @Override
    public void bodyMalformed(String reason) {
        fail(AttemptOutcome.ABANDONED, RequestErrors.bodyMalformed(reason));
    }

    @Override
    public void callerWritable() {
        if (phase == Phase.ANSWERING && attempt != null) {
            attempt.readAnswer();
        }
    }

    /** A request that was sent completely runs to its end even if its caller disconnects. */
    @Override
    public void callerDisconnected() {
        if (phase == Phase.ENDED) {
            return;
        }
        callerDisconnected = true;
        boolean sent = phase == Phase.SENT || phase == Phase.ANSWERING;
        if (sent && (wholeBodyBuffered || connection.isBodyEnded())) {
            // The request counts against the team's limit for as long as the target works on it.
            attempt.readAnswer();
            return;
        }
        fail(AttemptOutcome.ABANDONED, RequestErrors.outcomeUnknown("the caller left"));
    }

    private void bodyComplete(boolean whole) {
        wholeBodyBuffered = whole;
        if (request.isKeyed()) {
            begin();
        } else {
            admit();
        }
    }

    private void begin() {
        phase = Phase.INTENT;
        intent.begin(request, fingerprint.finish(), remainingMillis(), this::intentFound);
    }

    private void intentFound(IntentResult result, Throwable failure) {
        if (phase != Phase.INTENT) {
            intent.withdraw(() -> {});
        } else if (failure != null) {
            fail(AttemptOutcome.ABANDONED, QuetzalscaleException.from(failure));
        } else if (result instanceof IntentResult.Completed completed) {
            replay(completed.outcome());
        } else if (intent.isHeld()) {
            admit();
        } else {
            fail(
                    AttemptOutcome.ABANDONED,
                    RequestErrors.outcomeUnknown(
                            "an earlier request with this idempotency key may have run"));
        }
    }

    private void replay(RecordedOutcome outcome) {
        if (outcome.body() == null) {
            fail(AttemptOutcome.ABANDONED, RequestErrors.answerLost());
            return;
        }
        status = outcome.status();
        connection.writeHead(ResponseHeads.fromRecord(outcome, request.id(), request.method()));
        boolean head = request.method().equals(HttpMethod.HEAD);
        connection.write(
                new DefaultLastHttpContent(
                        head ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(outcome.body())));
        end(Optional.empty(), false);
        countEnded();
    }

    private void admit() {
        phase = Phase.ADMISSION;
        admission =
                context.admission()
                        .admit(
                                new AdmissionRequest(
                                        request.queue(),
                                        request.team(),
                                        request.urgent(),
                                        request.deadlineMillis()));
        admission.whenComplete(
                (granted, failure) -> loop.execute(() -> admitted(granted, failure)));
    }

    private void admitted(AdmittedRequest granted, Throwable failure) {
        if (phase != Phase.ADMISSION) {
            if (granted != null) {
                granted.finish(AttemptOutcome.NOT_SENT);
            }
            return;
        }
        if (failure != null) {
            fail(AttemptOutcome.ABANDONED, QuetzalscaleException.from(failure));
            return;
        }
        admittedRequest = granted;
        admittedMillis = context.time().nowMillis();
        connect();
    }

    private void connect() {
        phase = Phase.CONNECTING;
        attempts++;
        AdmittedRequest target = admittedRequest;
        context.targets()
                .acquire(target.address(), loop, remainingMillis())
                .addListener((Future<TargetConnection> done) -> connected(target, done));
    }

    private void connected(AdmittedRequest target, Future<TargetConnection> done) {
        if (phase != Phase.CONNECTING || admittedRequest != target) {
            if (done.isSuccess()) {
                done.getNow().releaseUnused();
            }
            return;
        }
        if (!done.isSuccess()) {
            unreachable("no connection to a target can be opened: " + done.cause().getMessage());
            return;
        }
        TargetConnection ready = done.getNow();
        if (!ready.isUsable()) {
            unreachable("the target closed the connection before the request");
            return;
        }
        try {
            RequestParser.requireValid(context.config());
            request.key().ifPresent(key -> KeyVerifier.recheck(context.config().snapshot(), key));
        } catch (QuetzalscaleException e) {
            ready.releaseUnused();
            fail(AttemptOutcome.ABANDONED, e);
            return;
        }
        send(ready);
    }

    private void send(TargetConnection target) {
        phase = Phase.SENT;
        mayHaveRunBefore = mayHaveRun;
        mayHaveRun = true;
        bodyRetained = wholeBodyBuffered;
        attempt = new Attempt(request, target, loop, this, connection::readBody);
        attempt.start(
                bodyBuffer.retainedView(),
                wholeBodyBuffered,
                Math.min(request.spec().timeoutMs(), remainingMillis()));
        if (!wholeBodyBuffered) {
            bodyBuffer.release();
        }
    }

    private void unreachable(String reason) {
        retryOrFail(AttemptOutcome.UNREACHABLE, RequestErrors.unreachable(reason));
    }

    @Override
    public void refused() {
        mayHaveRun = mayHaveRunBefore;
        retryOrFail(AttemptOutcome.REFUSED, RequestErrors.refusedByTarget());
    }

    @Override
    public boolean answered(HttpResponse head) {
        status = head.status().code();
        if (status >= FIRST_FAILURE_STATUS && attempts == 1 && request.isIdempotent()) {
            Optional<AdmittedRequest> other = retryOnOtherWorker(AttemptOutcome.FAILED);
            if (other.isPresent()) {
                admittedRequest = other.get();
                connect();
                return false;
            }
        }
        phase = Phase.ANSWERING;
        bodyBuffer.release();
        if (intent.isHeld()) {
            recorder = intent.recorder(connection.allocator(), context.budget());
            recorder.head(head);
        }
        if (!callerDisconnected) {
            connection.writeHead(ResponseHeads.fromTarget(head, request.id()));
        }
        return true;
    }

    @Override
    public void answerPart(HttpContent part) {
        if (phase != Phase.ANSWERING) {
            part.release();
            return;
        }
        if (recorder != null) {
            recorder.content(part.content());
        }
        if (part instanceof LastHttpContent) {
            answerEnded(part);
        } else if (callerDisconnected) {
            part.release();
            attempt.readAnswer();
        } else {
            connection.write(part);
            if (connection.isWritable()) {
                attempt.readAnswer();
            }
        }
    }

    private void answerEnded(HttpContent last) {
        finishAdmittedRequest(
                status >= FIRST_FAILURE_STATUS ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED);
        end(Optional.empty(), false);
        if (callerDisconnected) {
            last.release();
        } else {
            // Drops trailers, which a recorded outcome does not contain either.
            connection.write(new DefaultLastHttpContent(last.content()));
        }
        // Follows the write, so that the request counts as running without interruption.
        if (recorder != null) {
            recorder.complete(this::countEnded);
        } else {
            countEnded();
        }
    }

    @Override
    public void broken(String reason) {
        AttemptOutcome outcome =
                isStalledByCaller() ? AttemptOutcome.ABANDONED : AttemptOutcome.BROKEN;
        QuetzalscaleException error =
                RequestErrors.outcomeUnknown("the request may have run: " + reason);
        if (phase == Phase.SENT && request.isIdempotent()) {
            retryOrFail(outcome, error);
        } else {
            fail(outcome, error);
        }
    }

    private void retryOrFail(AttemptOutcome outcome, QuetzalscaleException error) {
        Optional<AdmittedRequest> other = retryOnOtherWorker(outcome);
        if (other.isPresent()) {
            admittedRequest = other.get();
            connect();
        } else {
            fail(outcome, error);
        }
    }

    private Optional<AdmittedRequest> retryOnOtherWorker(AttemptOutcome outcome) {
        boolean possible =
                !callerDisconnected
                        && bodyRetained
                        && attempts < MAX_ATTEMPTS
                        && remainingMillis() > 0;
        return possible ? admittedRequest.retryOnOtherWorker(outcome) : Optional.empty();
    }

    private void deadlinePassed() {
        switch (phase) {
            case BODY -> fail(AttemptOutcome.ABANDONED, RequestErrors.bodyTooSlow());
            case INTENT ->
                    fail(
                            AttemptOutcome.ABANDONED,
                            RequestErrors.outcomeUnknown(
                                    "a request with this idempotency key may be running"));
            case ADMISSION, CONNECTING ->
                    fail(AttemptOutcome.ABANDONED, RequestErrors.notAssignedInTime());
            case SENT, ANSWERING ->
                    fail(
                            isStalledByCaller() ? AttemptOutcome.ABANDONED : AttemptOutcome.BROKEN,
                            RequestErrors.outcomeUnknown(
                                    "the time limit passed before the whole answer came"));
            default -> {
                // The request has already ended.
            }
        }
    }

    private boolean isStalledByCaller() {
        return (!wholeBodyBuffered && !connection.isBodyEnded())
                || (phase == Phase.ANSWERING && !callerDisconnected && !connection.isWritable());
    }

    private void fail(AttemptOutcome outcome, QuetzalscaleException error) {
        if (phase == Phase.ENDED) {
            return;
        }
        QuetzalscaleException reported = mayHaveRun ? RequestErrors.afterPossibleRun(error) : error;
        boolean cut = phase == Phase.ANSWERING;
        if (!cut) {
            status = callerDisconnected ? 0 : reported.kind().httpStatus();
        }
        if (attempt != null) {
            attempt.abandon();
        }
        if (recorder != null) {
            recorder.discard();
        }
        finishAdmittedRequest(outcome);
        end(callerDisconnected ? Optional.empty() : Optional.of(reported.kind()), cut);
        if (admission != null) {
            admission.toCompletableFuture().cancel(false);
        }
        Runnable answer =
                () -> {
                    if (!callerDisconnected) {
                        connection.answerError(reported, request.id());
                    }
                    countEnded();
                };
        if (mayHaveRun) {
            answer.run();
        } else {
            intent.withdraw(answer);
        }
    }

    private void finishAdmittedRequest(AttemptOutcome outcome) {
        if (admittedRequest != null) {
            boolean unsent = phase == Phase.CONNECTING && outcome == AttemptOutcome.ABANDONED;
            admittedRequest.finish(unsent ? AttemptOutcome.NOT_SENT : outcome);
            admittedRequest = null;
        }
    }

    private void end(Optional<ErrorKind> error, boolean cut) {
        phase = Phase.ENDED;
        deadline.cancel(false);
        bodyBuffer.release();
        long now = context.time().nowMillis();
        context.observer()
                .ended(
                        new RequestRecord(
                                request.team(),
                                Optional.of(request.queue()),
                                error,
                                status,
                                cut || (callerDisconnected && status != 0),
                                (admittedMillis < 0 ? now : admittedMillis)
                                        - request.arrivalMillis(),
                                now - request.arrivalMillis()));
    }

    private void countEnded() {
        context.running().decrementAndGet();
    }

    private long remainingMillis() {
        return request.deadlineMillis() - context.time().nowMillis();
    }
}
