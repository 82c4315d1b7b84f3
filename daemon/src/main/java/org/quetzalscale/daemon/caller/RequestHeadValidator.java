package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.regex.Pattern;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;

/**
 * Rejects request heads that HTTP implementations could interpret differently. If a target and this
 * process disagreed on the end of a body, bytes of one caller could become a request of another
 * (request smuggling).
 */
final class RequestHeadValidator {
    private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}");
    private static final Pattern URI = Pattern.compile("/[!-~&&[^\"<>\\\\^`{|}#]]*");

    /** Matches dot segments, which a target could resolve to a path outside the queue. */
    private static final Pattern DOT_SEGMENT = Pattern.compile("[^?]*/(\\.|%2[eE]){1,2}([/?].*|$)");

    private RequestHeadValidator() {}

    /**
     * Requires a well-formed head.
     *
     * @throws QuetzalscaleException MALFORMED_REQUEST, HEADERS_TOO_LARGE or METHOD_NOT_ALLOWED
     */
    static void requireWellFormed(HttpRequest request) {
        requireDecoded(request);
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            throw malformed("protocol " + request.protocolVersion() + " is not HTTP/1.1");
        }
        if (!TOKEN.matcher(request.method().name()).matches()) {
            throw malformed("the method is not a token");
        }
        if (request.method().equals(HttpMethod.CONNECT)
                || request.method().equals(HttpMethod.TRACE)) {
            throw new QuetzalscaleException(
                    ErrorKind.METHOD_NOT_ALLOWED, "method " + request.method() + " is not taken");
        }
        if (!URI.matcher(request.uri()).matches()) {
            throw malformed("the request target is not a path of printable ASCII characters");
        }
        if (DOT_SEGMENT.matcher(request.uri()).matches()) {
            throw malformed("the path has a segment \".\" or \"..\"");
        }
        HttpHeaders headers = request.headers();
        if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
            throw malformed("the request does not have exactly one Host header");
        }
        requireOneLength(headers);
    }

    private static void requireDecoded(HttpRequest request) {
        if (!request.decoderResult().isFailure()) {
            return;
        }
        Throwable cause = request.decoderResult().cause();
        if (cause instanceof TooLongHttpLineException
                || cause instanceof TooLongHttpHeaderException) {
            throw new QuetzalscaleException(
                    ErrorKind.HEADERS_TOO_LARGE, "the request line or headers are too large");
        }
        throw malformed("the request can not be decoded: " + cause.getMessage());
    }

    private static void requireOneLength(HttpHeaders headers) {
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!lengths.isEmpty() && !encodings.isEmpty()) {
            throw malformed("the request has both Content-Length and Transfer-Encoding");
        }
        if (lengths.size() > 1
                || lengths.stream().anyMatch(length -> !LENGTH.matcher(length).matches())) {
            throw malformed("Content-Length is not one number");
        }
        if (encodings.size() > 1
                || encodings.stream().anyMatch(coding -> !coding.equalsIgnoreCase("chunked"))) {
            throw malformed("Transfer-Encoding is not \"chunked\"");
        }
    }

    private static QuetzalscaleException malformed(String message) {
        return new QuetzalscaleException(ErrorKind.MALFORMED_REQUEST, message);
    }
}
