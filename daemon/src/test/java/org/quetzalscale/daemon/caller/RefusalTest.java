package org.quetzalscale.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/** Rejected requests do not reach a target, and each gets its specific error. */
@Timeout(30)
class RefusalTest {
    private final CallerFixture fixture = new CallerFixture(CallerFixture.LIMITS);
    private final ScriptedTarget target = fixture.answering(ScriptedTarget.OK);

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void assertRefused(RawCaller.Answer answer, String code) {
        ErrorKind kind = ErrorKind.valueOf(code.toUpperCase());
        assertThat(answer.body()).contains("\"code\":\"" + code + "\"", "\"run\":\"not-run\"");
        assertThat(answer.status()).isEqualTo(kind.httpStatus());
        assertThat(answer.run()).isEqualTo("not-run");
        assertThat(answer.whole()).isTrue();
        assertThat(target.received()).isEmpty();
        assertThat(fixture.admission.unfinished).hasValue(0);
    }

    @ParameterizedTest
    @CsvFileSource(resources = "bad-requests.csv", delimiter = '|')
    void badRequestsGetTheirErrorAndReachNoTarget(String code, String request) throws IOException {
        String raw =
                request.replace("$KEY", CallerFixture.KEY)
                        .replace("\\r", "\r")
                        .replace("\\n", "\n")
                        .replace("\\x01", "\u0001")
                        .replace("\\x0b", "\u000b");
        assertRefused(fixture.call(raw), code);
    }

    @Nested
    class Sizes {
        @Test
        void headersOverTheLimitAreRefused() throws IOException {
            String large = "X-A: " + "a".repeat(17 << 10) + "\r\n\r\n";
            String head = CallerFixture.get("/q/assay");
            String request = head.substring(0, head.length() - 2) + large;
            assertRefused(fixture.call(request), "headers_too_large");
            assertRefused(
                    fixture.call(CallerFixture.get("/q/" + "a".repeat(17 << 10))),
                    "headers_too_large");
        }

        @Test
        void keyedBodiesOverTheLimitAreRefused() throws IOException {
            String head =
                    "POST /q/assay HTTP/1.1\r\nHost: x\r\n"
                            + CallerFixture.KEY
                            + "Idempotency-Key: k\r\nContent-Length: 8388609\r\n\r\n";
            assertRefused(fixture.call(head), "body_too_large");
            assertThat(fixture.intents.holds("k")).isFalse();
        }

        @Test
        void withFullBuffersKeyedBodiesAreRefusedAndOthersStream() throws IOException {
            CallerLimits limits =
                    new CallerLimits(8, 16 << 10, 300, 60_000, 64 << 10, 8 << 20, 4096, 50, 500);
            try (CallerFixture small = new CallerFixture(limits)) {
                ScriptedTarget streamed = small.answering(ScriptedTarget.OK);
                String body = "x".repeat(50_000);
                String keyed = CallerFixture.post("/q/assay", "Idempotency-Key: k\r\n", body);
                assertRefused(small.call(keyed), "queue_full");
                assertThat(small.call(CallerFixture.post("/q/assay", "", body)).status())
                        .isEqualTo(200);
                assertThat(streamed.received()).endsWith(body);
            }
        }

        @Test
        void aConnectionAboveTheLimitIsRefused() throws IOException {
            CallerLimits limits =
                    new CallerLimits(1, 16 << 10, 300, 60_000, 1024, 1024, 4096, 50, 500);
            try (CallerFixture small = new CallerFixture(limits);
                    RawCaller first = small.caller()) {
                small.answering(ScriptedTarget.OK);
                assertThat(first.send(CallerFixture.get("/q/assay")).read().status())
                        .isEqualTo(200);
                try (RawCaller second = small.caller()) {
                    assertRefused(second.read(), "queue_full");
                    assertThat(second.isAtEnd()).isTrue();
                }
            }
        }
    }

    @Nested
    class SlowCallers {
        @Test
        void thatDoNotFinishTheHeadAreRefused() throws IOException {
            assertRefused(fixture.call("GET /q/assay HTTP/1.1\r\nHo"), "request_timeout");
        }

        @Test
        void thatDoNotFinishTheBodyHoldNoWorker() throws IOException {
            String request = CallerFixture.post("/q/brief", "", "body");
            String cut = request.substring(0, request.length() - 1);
            assertRefused(fixture.call(cut), "request_timeout");
            assertThat(fixture.admission.last).isNull();
        }
    }

    @Nested
    class LateChecks {
        @Test
        void aStaleConfigurationIsRefusedAtArrival() throws IOException {
            fixture.config.valid = false;
            assertRefused(fixture.call(CallerFixture.get("/q/assay")), "config_stale");
        }

        @Test
        void aConfigurationThatExpiresInTheQueueIsRefusedBeforeTheFirstByte() throws IOException {
            fixture.admission.beforeGrant = () -> fixture.config.valid = false;
            assertRefused(fixture.call(CallerFixture.get("/q/assay")), "config_stale");
        }

        @Test
        void aKeyWithdrawnInTheQueueIsRefusedBeforeTheFirstByte() throws IOException {
            fixture.admission.beforeGrant = fixture.config::withdrawKey;
            assertRefused(
                    fixture.call(CallerFixture.post("/q/assay", "Idempotency-Key: k\r\n", "x")),
                    "key_withdrawn");
            assertThat(fixture.intents.holds("k")).isFalse();
        }

        @Test
        void aRefusalByAdmissionWithdrawsTheIntent() throws IOException {
            fixture.admission.refusal = new QuetzalscaleException(ErrorKind.LIMIT_REACHED, "full");
            assertRefused(
                    fixture.call(CallerFixture.post("/q/assay", "Idempotency-Key: k\r\n", "x")),
                    "limit_reached");
            assertThat(fixture.intents.holds("k")).isFalse();
        }

        @Test
        void aRequestThatIsNeverAdmittedEndsAtItsDeadline() throws IOException {
            fixture.admission.neverGrants = true;
            assertRefused(fixture.call(CallerFixture.get("/q/brief")), "deadline_exceeded");
        }

        @Test
        void anUnavailableStoreRefusesKeyedRequests() throws IOException {
            fixture.intents.unavailable = true;
            assertRefused(
                    fixture.call(CallerFixture.post("/q/assay", "Idempotency-Key: k\r\n", "x")),
                    "store_unavailable");
        }
    }
}
