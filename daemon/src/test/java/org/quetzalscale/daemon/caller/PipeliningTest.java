package org.quetzalscale.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Pipelined requests on one connection get their own answers, in order. */
final class PipeliningTest {
    private static final int MAX_BODY = 60_000;

    /** Echoes request bodies; every third request is answered after 2 ms. */
    private static void echo(ScriptedTarget.Connection connection) throws IOException {
        int count = 0;
        for (String request = connection.readRequest();
                request != null;
                request = connection.readRequest()) {
            String body = request.substring(request.indexOf("\r\n\r\n") + 4);
            if (count++ % 3 == 2) {
                pause();
            }
            connection.write(
                    "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    private static void pause() {
        java.util.concurrent.locks.LockSupport.parkNanos(2_000_000);
    }

    private static String body(int number, int size) {
        StringBuilder text = new StringBuilder(size);
        while (text.length() < size) {
            text.append(number).append('.').append(text.length()).append(' ');
        }
        return text.substring(0, size);
    }

    private static void checkAnswers(List<Integer> sizes, List<Integer> cuts) throws IOException {
        try (CallerFixture fixture = new CallerFixture(CallerFixture.LIMITS);
                RawCaller caller = fixture.caller()) {
            fixture.target(PipeliningTest::echo);
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < sizes.size(); i++) {
                all.append(CallerFixture.post("/q/assay/echo", "", body(i, sizes.get(i))));
            }
            int from = 0;
            for (int cut : cuts) {
                int to = Math.min(all.length(), from + cut);
                caller.send(all.substring(from, to));
                from = to;
            }
            caller.send(all.substring(from));
            for (int i = 0; i < sizes.size(); i++) {
                RawCaller.Answer answer = caller.read();
                assertThat(answer.status()).as("status of request %d", i).isEqualTo(200);
                assertThat(answer.body())
                        .as("body of request %d", i)
                        .isEqualTo(body(i, sizes.get(i)));
            }
        }
    }

    /** Guards against a caller that receives the answer to another request. */
    @Property(tries = 60)
    void answersAreTheCallersOwn(
            @ForAll @Size(min = 2, max = 7) List<@IntRange(max = MAX_BODY) Integer> sizes,
            @ForAll @Size(max = 6) List<@IntRange(min = 1, max = 3 * MAX_BODY) Integer> cuts)
            throws IOException {
        checkAnswers(sizes, cuts);
    }

    /** Guards against the loss of the third request of four, which happened with these sizes. */
    @Example
    void fourRequestsInOneSegment() throws IOException {
        checkAnswers(new ArrayList<>(List.of(1714, 12120, 7756, 8352)), List.of());
        checkAnswers(new ArrayList<>(List.of(54436, 15636, 26, 29402)), List.of());
    }
}
