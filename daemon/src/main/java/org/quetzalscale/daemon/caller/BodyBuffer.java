package org.quetzalscale.daemon.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * Buffers a body or its first part; its capacity counts against the buffer budget.
 *
 * <p>The bytes are copied, because a retained slice, even of one byte, would keep its whole read
 * buffer in memory.
 */
final class BodyBuffer {
    private static final int MIN_BYTES = 1 << 10;
    private static final int MAX_INITIAL_BYTES = 64 << 10;

    private final ByteBufAllocator allocator;
    private final BufferBudget budget;
    private final int initialBytes;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;
    private int accountedBytes;
    private boolean withinBudget = true;

    /**
     * Creates an empty buffer; memory is allocated when the first part arrives.
     *
     * @param expectedBytes expected size of the body; -1 if unknown
     */
    BodyBuffer(ByteBufAllocator allocator, BufferBudget budget, long expectedBytes) {
        this.allocator = allocator;
        this.budget = budget;
        this.initialBytes = (int) Math.min(Math.max(expectedBytes, MIN_BYTES), MAX_INITIAL_BYTES);
    }

    /** Appends a copy of the part; returns whether every append was within the budget. */
    boolean append(ByteBuf part) {
        if (!part.isReadable()) {
            return withinBudget;
        }
        if (bytes == Unpooled.EMPTY_BUFFER) {
            bytes = allocator.buffer(Math.max(initialBytes, part.readableBytes()));
        }
        bytes.writeBytes(part, part.readerIndex(), part.readableBytes());
        int grownBytes = bytes.capacity() - accountedBytes;
        accountedBytes = bytes.capacity();
        withinBudget &= budget.reserve(grownBytes);
        return withinBudget;
    }

    int size() {
        return bytes.readableBytes();
    }

    /** Returns a view that the receiver must release; nothing may be appended after this call. */
    ByteBuf retainedView() {
        return bytes.retainedDuplicate();
    }

    /** Returns a copy of the bytes. */
    byte[] copy() {
        return ByteBufUtil.getBytes(bytes);
    }

    /** Releases the memory; retained views stay valid until their receivers release them. */
    void release() {
        bytes.release();
        bytes = Unpooled.EMPTY_BUFFER;
        budget.release(accountedBytes);
        accountedBytes = 0;
    }
}
