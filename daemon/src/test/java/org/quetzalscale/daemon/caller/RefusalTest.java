package org.quetzalscale.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/** Requests that must not reach a target, each with its own error. */
class RefusalTest {
    private static final String GET = "GET /q/assay HTTP/1.1\\r\\nHost: x\\r\\n";
    private static final String POST = "POST /q/assay HTTP/1.1\\r\\nHost: x\\r\\n";
    private static final String KEY = "Authorization: Bearer qk_lab_s3cret_x\\r\\n";

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
        assertThat(fixture.admission.held).hasValue(0);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "key_missing | " + GET + "\\r\\n",
                "key_unknown | " + GET + "Authorization: Bearer qk_lab_wrong\\r\\n\\r\\n",
                "key_unknown | " + GET + "Authorization: Bearer qk_none_s3cret_x\\r\\n\\r\\n",
                "key_unknown | " + GET + "Authorization: Basic YTpi\\r\\n\\r\\n",
                "key_unknown | GET /q/open HTTP/1.1\\r\\nHost: x\\r\\n"
                        + "Authorization: Bearer qk_lab_wrong\\r\\n\\r\\n",
                "key_withdrawn | " + GET + "Authorization: Bearer qk_old_s3cret_x\\r\\n\\r\\n",
                "key_missing | POST /q/open HTTP/1.1\\r\\nHost: x\\r\\nIdempotency-Key: a\\r\\n"
                        + "Content-Length: 0\\r\\n\\r\\n",
                "queue_unknown | GET /q/none/x HTTP/1.1\\r\\nHost: x\\r\\n" + KEY + "\\r\\n",
                "queue_unknown | GET /q/ HTTP/1.1\\r\\nHost: x\\r\\n" + KEY + "\\r\\n",
                "queue_unknown | GET / HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n",
                "invalid_field | " + GET + KEY + "Quetzalscale-Timeout-Ms: 60001\\r\\n\\r\\n",
                "invalid_field | " + GET + KEY + "Quetzalscale-Priority: first\\r\\n\\r\\n",
                "invalid_field | " + GET + KEY + "Idempotency-Key: a b\\r\\n\\r\\n",
                "malformed_request | " + GET + KEY + KEY + "\\r\\n",
                "malformed_request | GET /q/assay HTTP/1.0\\r\\nHost: x\\r\\n" + KEY + "\\r\\n",
                "malformed_request | GET /q/assay HTTP/1.1\\r\\n" + KEY + "\\r\\n",
                "malformed_request | " + GET + "Host: y\\r\\n" + KEY + "\\r\\n",
                "method_not_allowed | TRACE /q/assay HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n",
                "malformed_request | hello\\r\\n\\r\\n",
                "malformed_request | GET /q/assay/\\x01 HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n",
                // Each of these lets two servers disagree on where the request ends.
                "malformed_request | "
                        + POST
                        + KEY
                        + "Content-Length: 1\\r\\n"
                        + "Transfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
                "malformed_request | "
                        + POST
                        + KEY
                        + "Content-Length: 1\\r\\n"
                        + "Content-Length: 2\\r\\n\\r\\nab",
                "malformed_request | "
                        + POST
                        + KEY
                        + "Content-Length: 1\\r\\n"
                        + "Content-Length: 1\\r\\n\\r\\na",
                "malformed_request | " + POST + KEY + "Content-Length: 1, 1\\r\\n\\r\\na",
                "malformed_request | " + POST + KEY + "Content-Length: +1\\r\\n\\r\\na",
                "malformed_request | " + POST + KEY + "Content-Length: -1\\r\\n\\r\\na",
                "malformed_request | "
                        + POST
                        + KEY
                        + "Transfer-Encoding: xchunked\\r\\n\\r\\n0\\r\\n\\r\\n",
                "malformed_request | "
                        + POST
                        + KEY
                        + "Transfer-Encoding: gzip, chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
                "malformed_request | "
                        + POST
                        + KEY
                        + "Transfer-Encoding: chunked\\r\\n"
                        + "Transfer-Encoding: identity\\r\\n\\r\\n0\\r\\n\\r\\n",
                "malformed_request | "
                        + POST
                        + KEY
                        + "Transfer-Encoding : chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
                "malformed_request | "
                        + POST
                        + KEY
                        + "Transfer-Encoding:\\x0bchunked\\r\\n\\r\\n0\\r\\n\\r\\n",
                "malformed_request | "
                        + POST
                        + KEY
                        + "Transfer-Encoding: chunked\\r\\n\\r\\n0x1\\r\\na\\r\\n0\\r\\n\\r\\n",
                "malformed_request | "
                        + POST
                        + KEY
                        + "Transfer-Encoding: chunked\\r\\n\\r\\n1\\na\\r\\n0\\r\\n\\r\\n",
                "malformed_request | " + GET + KEY + "X-A: b\\nX-B: c\\r\\n\\r\\n",
                "malformed_request | " + GET + KEY + "X-A: b\\rX-B: c\\r\\n\\r\\n",
                "malformed_request | " + GET + KEY + "X-A: b\\n\\n",
            })
    void badRequestsGetTheirErrorAndReachNoTarget(String code, String request) throws IOException {
        String raw =
                request.replace("\\r", "\r")
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
        void oneConnectionTooManyIsToldSo() throws IOException {
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
