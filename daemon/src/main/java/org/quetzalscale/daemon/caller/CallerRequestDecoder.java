package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests strictly: lines end with CRLF, and the body length is unambiguous. */
final class CallerRequestDecoder extends HttpRequestDecoder {
    CallerRequestDecoder(int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setAllowDuplicateContentLengths(false)
                        .setStrictLineParsing(true));
    }

    /** Whether bytes of a further request are buffered and not yet decoded. */
    boolean hasBufferedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
