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
 * One request of a caller, from its checked head to the end of its answer. All methods run on the
 * event loop of the caller's connection.
 *
 * <p>A body that can be kept is read whole before a worker is asked for, so that a slow caller
 * holds no place on a worker and the request can be sent again.
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
    private final KeptBytes kept;
    private final IntentHold intent;
    // Null for a request without an idempotency key.
    private final Fingerprint fingerprint;
    private Phase phase = Phase.BODY;
    private boolean bodyWhole;
    // False once a part of the body went to a target without being kept.
    private boolean bodyKept = true;
    private boolean callerGone;
    // Sticky once an attempt may have run: a later refusal must not be reported as "not run".
    private boolean mayHaveRun;
    private boolean ranBefore;
    private int attempts;
    private CompletionStage<AdmittedRequest> admission;
    private AdmittedRequest assignment;
    private Attempt attempt;
    private OutcomeRecorder recorder;
    private ScheduledFuture<?> deadline;
    private int status;
    private long assignedMillis = -1;

    Exchange(
            CallerContext context,
            CallerConnection connection,
            CallerRequest request,
            EventLoop loop) {
        this.context = context;
        this.connection = connection;
        this.request = request;
        this.loop = loop;
        this.kept =
                new KeptBytes(connection.allocator(), context.budget(), request.contentLength());
        this.intent = new IntentHold(context.intents(), loop);
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
        boolean withinBudget = kept.append(part.content());
        if (fingerprint != null) {
            fingerprint.add(part.content());
        }
        part.release();
        if (request.isKeyed() && kept.size() > context.limits().keyedBodyBytes()) {
            fail(
                    AttemptOutcome.ABANDONED,
                    RequestErrors.keyedBodyTooLarge(context.limits().keyedBodyBytes()));
        } else if (request.isKeyed() && !withinBudget) {
            fail(AttemptOutcome.ABANDONED, RequestErrors.buffersFull());
        } else if (last) {
            bodyComplete(true);
        } else if (!request.isKeyed()
                && (!withinBudget || kept.size() >= context.limits().keptBodyBytes())) {
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

    /** Work that a target has whole goes on to its end, although its caller left. */
    @Override
    public void callerGone() {
        if (phase == Phase.ENDED) {
            return;
        }
        callerGone = true;
        boolean sent = phase == Phase.SENT || phase == Phase.ANSWERING;
        if (sent && (bodyWhole || connection.isBodyEnded())) {
            // The unit of the team's limit stays in use for as long as the target works.
            attempt.readAnswer();
            return;
        }
        fail(AttemptOutcome.ABANDONED, RequestErrors.outcomeUnknown("the caller left"));
    }

    private void bodyComplete(boolean whole) {
        bodyWhole = whole;
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
        connection.writeHead(Answers.fromRecord(outcome, request.id(), request.method()));
        boolean head = request.method().equals(HttpMethod.HEAD);
        connection.write(
                new DefaultLastHttpContent(
                        head ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(outcome.body())));
        end(Optional.empty(), false);
        leave();
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
        assignment = granted;
        assignedMillis = context.time().nowMillis();
        connect();
    }

    private void connect() {
        phase = Phase.CONNECTING;
        attempts++;
        AdmittedRequest target = assignment;
        context.targets()
                .acquire(target.address(), loop, remainingMillis())
                .addListener((Future<TargetConnection> done) -> connected(target, done));
    }

    private void connected(AdmittedRequest target, Future<TargetConnection> done) {
        if (phase != Phase.CONNECTING || assignment != target) {
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
        ranBefore = mayHaveRun;
        mayHaveRun = true;
        bodyKept = bodyWhole;
        attempt = new Attempt(request, target, loop, this, connection::readBody);
        attempt.start(
                kept.share(), bodyWhole, Math.min(request.spec().timeoutMs(), remainingMillis()));
        if (!bodyWhole) {
            kept.release();
        }
    }

    private void unreachable(String reason) {
        retryOrFail(AttemptOutcome.UNREACHABLE, RequestErrors.unreachable(reason));
    }

    @Override
    public void refused() {
        mayHaveRun = ranBefore;
        retryOrFail(AttemptOutcome.REFUSED, RequestErrors.refusedByTarget());
    }

    @Override
    public boolean answered(HttpResponse head) {
        status = head.status().code();
        if (status >= FIRST_FAILURE_STATUS && attempts == 1 && request.isIdempotent()) {
            Optional<AdmittedRequest> other = elsewhere(AttemptOutcome.FAILED);
            if (other.isPresent()) {
                assignment = other.get();
                connect();
                return false;
            }
        }
        phase = Phase.ANSWERING;
        kept.release();
        if (intent.isHeld()) {
            recorder = intent.recorder(connection.allocator(), context.budget());
            recorder.head(head);
        }
        if (!callerGone) {
            connection.writeHead(Answers.fromTarget(head, request.id()));
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
        } else if (callerGone) {
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
        finishAssignment(
                status >= FIRST_FAILURE_STATUS ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED);
        end(Optional.empty(), false);
        if (callerGone) {
            last.release();
        } else {
            // Without trailers, which a recorded outcome does not hold either.
            connection.write(new DefaultLastHttpContent(last.content()));
        }
        // After the write, so that the request counts as running without a gap.
        if (recorder != null) {
            recorder.complete(this::leave);
        } else {
            leave();
        }
    }

    @Override
    public void broken(String reason) {
        AttemptOutcome outcome =
                isHeldUpByCaller() ? AttemptOutcome.ABANDONED : AttemptOutcome.BROKEN;
        QuetzalscaleException error =
                RequestErrors.outcomeUnknown("the request may have run: " + reason);
        if (phase == Phase.SENT && request.isIdempotent()) {
            retryOrFail(outcome, error);
        } else {
            fail(outcome, error);
        }
    }

    private void retryOrFail(AttemptOutcome outcome, QuetzalscaleException error) {
        Optional<AdmittedRequest> other = elsewhere(outcome);
        if (other.isPresent()) {
            assignment = other.get();
            connect();
        } else {
            fail(outcome, error);
        }
    }

    private Optional<AdmittedRequest> elsewhere(AttemptOutcome outcome) {
        boolean possible =
                !callerGone && bodyKept && attempts < MAX_ATTEMPTS && remainingMillis() > 0;
        return possible ? assignment.retryOnOtherWorker(outcome) : Optional.empty();
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
                            isHeldUpByCaller() ? AttemptOutcome.ABANDONED : AttemptOutcome.BROKEN,
                            RequestErrors.outcomeUnknown(
                                    "the time limit passed before the whole answer came"));
            default -> {
                // The request ended just before.
            }
        }
    }

    private boolean isHeldUpByCaller() {
        return (!bodyWhole && !connection.isBodyEnded())
                || (phase == Phase.ANSWERING && !callerGone && !connection.isWritable());
    }

    private void fail(AttemptOutcome outcome, QuetzalscaleException error) {
        if (phase == Phase.ENDED) {
            return;
        }
        QuetzalscaleException told = mayHaveRun ? RequestErrors.afterPossibleRun(error) : error;
        boolean cut = phase == Phase.ANSWERING;
        if (!cut) {
            status = callerGone ? 0 : told.kind().httpStatus();
        }
        if (attempt != null) {
            attempt.abandon();
        }
        if (recorder != null) {
            recorder.discard();
        }
        finishAssignment(outcome);
        end(callerGone ? Optional.empty() : Optional.of(told.kind()), cut);
        if (admission != null) {
            admission.toCompletableFuture().cancel(false);
        }
        Runnable answer =
                () -> {
                    if (!callerGone) {
                        connection.answerError(told, request.id());
                    }
                    leave();
                };
        if (mayHaveRun) {
            answer.run();
        } else {
            intent.withdraw(answer);
        }
    }

    private void finishAssignment(AttemptOutcome outcome) {
        if (assignment != null) {
            boolean unsent = phase == Phase.CONNECTING && outcome == AttemptOutcome.ABANDONED;
            assignment.finish(unsent ? AttemptOutcome.NOT_SENT : outcome);
            assignment = null;
        }
    }

    private void end(Optional<ErrorKind> error, boolean cut) {
        phase = Phase.ENDED;
        deadline.cancel(false);
        kept.release();
        long now = context.time().nowMillis();
        context.observer()
                .ended(
                        new RequestRecord(
                                request.team(),
                                Optional.of(request.queue()),
                                error,
                                status,
                                cut || (callerGone && status != 0),
                                (assignedMillis < 0 ? now : assignedMillis)
                                        - request.arrivalMillis(),
                                now - request.arrivalMillis()));
    }

    private void leave() {
        context.running().decrementAndGet();
    }

    private long remainingMillis() {
        return request.deadlineMillis() - context.time().nowMillis();
    }
}
