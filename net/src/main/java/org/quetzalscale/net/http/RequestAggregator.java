package org.quetzalscale.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Collects the body of each request, and tells whether the end of one is still missing. */
final class RequestAggregator extends HttpObjectAggregator {
    private boolean receiving;

    /**
     * Creates the handler of one connection.
     *
     * @param maxBodyBytes largest request body; a larger one gets status 413
     */
    RequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    /** Whether the head of a request has been read, but not the end of its body. */
    boolean isReceiving() {
        return receiving;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content)
            throws Exception {
        receiving = true;
        return super.beginAggregation(start, content);
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        receiving = false;
        super.finishAggregation(aggregated);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized)
            throws Exception {
        receiving = false;
        super.handleOversizedMessage(context, oversized);
    }
}
