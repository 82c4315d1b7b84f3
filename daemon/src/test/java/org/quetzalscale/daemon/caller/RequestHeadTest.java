package org.quetzalscale.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Request heads that a target could interpret differently from this process. */
final class RequestHeadTest {
    private final CallerFixture fixture = new CallerFixture(CallerFixture.LIMITS);

    @AfterEach
    void close() throws IOException {
        fixture.close();
    }

    /** Guards against a path that the target resolves to one outside the queue. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/q/assay/../../v1/jobs",
                "/q/assay/..",
                "/q/assay/./a",
                "/q/assay/%2e%2E/a",
                "/q/assay/.%2e",
                "/q/assay/..?a=b"
            })
    void refusesDotSegments(String path) throws IOException {
        ScriptedTarget target = fixture.answering(ScriptedTarget.OK);

        RawCaller.Answer answer = fixture.call(CallerFixture.get(path));

        assertThat(answer.status()).isEqualTo(400);
        assertThat(answer.run()).isEqualTo("not-run");
        assertThat(target.requests()).isZero();
    }

    /** Guards against the rejection of paths that contain dots but no dot segments. */
    @ParameterizedTest
    @ValueSource(strings = {"/q/assay/a.b", "/q/assay/...", "/q/assay/..a", "/q/assay/a?b=/../c"})
    void forwardsOtherDots(String path) throws IOException {
        ScriptedTarget target = fixture.answering(ScriptedTarget.OK);

        assertThat(fixture.call(CallerFixture.get(path)).status()).isEqualTo(200);

        assertThat(target.requests()).isEqualTo(1);
    }

    /** Guards against a folded header line that the target parses as a separate header. */
    @Test
    void forwardsAContinuedHeaderAsOneLine() throws IOException {
        ScriptedTarget target = fixture.answering(ScriptedTarget.OK);

        RawCaller.Answer answer =
                fixture.call(
                        "GET /q/assay/a HTTP/1.1\r\nHost: x\r\n"
                                + CallerFixture.KEY
                                + "X-Note: first\r\n second\r\n\r\n");

        assertThat(answer.status()).isEqualTo(200);
        assertThat(target.received().toLowerCase(java.util.Locale.ROOT))
                .contains("x-note: first second\r\n");
    }
}
