package org.quetzalscale.daemon.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests strictly: lines end with CR LF, and the body has one length. */
final class CallerRequestDecoder extends HttpRequestDecoder {
    CallerRequestDecoder(int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setAllowDuplicateContentLengths(false)
                        .setStrictLineParsing(true));
    }

    /** Whether bytes of a further request wait to be decoded. */
    boolean hasRest() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
