package org.quetzalscale.daemon.target;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the answers of a target and knows which of them have no body. */
final class TargetResponseDecoder extends HttpResponseDecoder {
    private boolean answersHeadRequest;

    TargetResponseDecoder(int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setStrictLineParsing(true));
    }

    /** Tells whether the next answer is that of a HEAD request. */
    void expect(boolean head) {
        answersHeadRequest = head;
    }

    /** Whether bytes after the last message wait to be decoded. */
    boolean hasBufferedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return answersHeadRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
