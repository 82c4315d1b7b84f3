package org.quetzalscale.daemon.target;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the answers of a target; the answer to a HEAD request has no body. */
final class TargetResponseDecoder extends HttpResponseDecoder {
    private boolean answersHeadRequest;

    TargetResponseDecoder(int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxHeaderBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setStrictLineParsing(true));
    }

    /** Sets whether the next answer belongs to a HEAD request. */
    void expect(boolean head) {
        answersHeadRequest = head;
    }

    /** Whether bytes after the last message are buffered and not yet decoded. */
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
