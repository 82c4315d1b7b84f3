package org.quetzalscale.acceptance.scenario;

import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.quetzalscale.acceptance.support.Caller;

/**
 * A request that was sent and its answer.
 *
 * @param path path that the target logs, unique to the request
 * @param body what the target sends back, or empty if it generates the answer
 * @param answer fails if the answer was cut
 */
record SentRequest(String path, String body, CompletableFuture<HttpResponse<String>> answer) {
    /** Size of an answer that the target generates from the request id. */
    static final int GENERATED_CHARS = 5_000;

    private static final String RUN_HEADER = "Quetzalscale-Run";

    /** The answer once it is there, or empty if it was cut. */
    Optional<HttpResponse<String>> outcome() {
        return answer.handle((got, failure) -> Optional.ofNullable(got)).join();
    }

    boolean isAnsweredByTarget() {
        return outcome().filter(got -> got.statusCode() == 200).isPresent();
    }

    /** Whether the answer is the target's for this request, an error of ours, or visibly cut. */
    boolean isOwnAndWhole() {
        return outcome()
                .map(
                        got ->
                                got.statusCode() == 200
                                        ? isWhole(got)
                                        : !Caller.errorCode(got).isEmpty())
                .orElse(true);
    }

    boolean isToldNotRun() {
        return outcome()
                .flatMap(got -> got.headers().firstValue(RUN_HEADER))
                .filter("not-run"::equals)
                .isPresent();
    }

    private boolean isWhole(HttpResponse<String> got) {
        if (!body.isEmpty()) {
            return got.body().equals(body);
        }
        String id = got.headers().firstValue("X-Request-Id").orElse("none");
        return got.body().length() == GENERATED_CHARS
                && got.body().lines().limit(10).allMatch(id::equals);
    }
}
