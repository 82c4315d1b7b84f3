package org.quetzalscale.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.quetzalscale.core.time.VirtualTime;
import org.quetzalscale.net.http.HttpCall;
import org.quetzalscale.net.http.HttpCallException;
import org.quetzalscale.net.http.HttpReply;

class CallQueueTest {
    private static final int LIMIT_MILLIS = 1000;
    private static final HttpCall CALL = HttpCall.of(HttpMethod.GET, "/", new byte[0]);
    private static final HttpReply REPLY = HttpReply.text(200, "text/plain", new byte[0]);

    private final VirtualTime time = new VirtualTime();
    private final List<CompletableFuture<HttpReply>> sent = new ArrayList<>();
    private final List<Integer> limitsMillis = new ArrayList<>();
    private final CallQueue queue =
            new CallQueue(
                    (call, limitMillis) -> {
                        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
                        sent.add(reply);
                        limitsMillis.add(limitMillis);
                        return reply;
                    },
                    time,
                    1,
                    LIMIT_MILLIS);

    @Test
    void sendsAWaitingCallWithTheTimeThatItHasLeft() {
        queue.send(CALL);
        CompletableFuture<HttpReply> second = queue.send(CALL).toCompletableFuture();
        time.advance(300);
        assertThat(sent).hasSize(1);
        sent.get(0).complete(REPLY);
        assertThat(limitsMillis).containsExactly(LIMIT_MILLIS, LIMIT_MILLIS - 300);
        sent.get(1).complete(REPLY);
        assertThat(second).isCompletedWithValue(REPLY);
    }

    /** Guards against an unknown outcome of a call that never left this process. */
    @Test
    void saysThatACallWithTooLittleTimeLeftWasNotSent() {
        queue.send(CALL);
        CompletableFuture<HttpReply> second = queue.send(CALL).toCompletableFuture();
        time.advance(LIMIT_MILLIS);
        sent.get(0).completeExceptionally(HttpCallException.maybeSent("no answer"));
        assertThat(sent).hasSize(1);
        assertThat(second)
                .isCompletedExceptionally()
                .failsWithin(java.time.Duration.ZERO)
                .withThrowableThat()
                .havingCause()
                .isInstanceOfSatisfying(
                        HttpCallException.class, e -> assertThat(e.maybeSent()).isFalse());
        queue.send(CALL);
        assertThat(sent).hasSize(2);
    }
}
