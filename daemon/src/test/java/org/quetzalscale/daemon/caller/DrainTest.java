package org.quetzalscale.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A drain interrupts no running request and ends within its time limit. */
@Timeout(30)
class DrainTest {
    private final CallerFixture fixture = new CallerFixture(CallerFixture.LIMITS);
    private final CountDownLatch answer = new CountDownLatch(1);

    @AfterEach
    void stop() throws IOException {
        answer.countDown();
        fixture.close();
    }

    private RawCaller runningRequest() throws IOException {
        fixture.target(
                connection -> {
                    connection.readRequest();
                    try {
                        answer.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    connection.write(ScriptedTarget.OK);
                });
        RawCaller caller = fixture.caller().send(CallerFixture.get("/q/assay"));
        while (fixture.server.runningRequests() == 0) {
            Thread.onSpinWait();
        }
        return caller;
    }

    @Test
    void letsRunningRequestsEndAndClosesTheirConnections() throws Exception {
        try (RawCaller idle = fixture.caller();
                RawCaller caller = runningRequest()) {
            CompletableFuture<Integer> remaining =
                    fixture.server.beginDrain().toCompletableFuture();
            assertThat(idle.isAtEnd()).isTrue();
            assertThatThrownBy(fixture::caller).isInstanceOf(IOException.class);
            assertThat(remaining).isNotDone();
            answer.countDown();
            RawCaller.Answer last = caller.read();
            assertThat(last.body()).isEqualTo("ok");
            assertThat(last.headers()).containsEntry("connection", "close");
            assertThat(remaining.get(5, TimeUnit.SECONDS)).isZero();
        }
    }

    @Test
    void reportsRunningRequestsAtTheTimeLimit() throws Exception {
        RawCaller caller = runningRequest();
        CompletableFuture<Integer> remaining = fixture.server.beginDrain().toCompletableFuture();
        assertThat(remaining.get(5, TimeUnit.SECONDS)).isEqualTo(1);
        caller.close();
    }
}
