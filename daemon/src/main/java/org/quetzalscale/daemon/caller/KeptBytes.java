package org.quetzalscale.daemon.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * A growing copy of the start of a body, counted against the budget.
 *
 * <p>The bytes are copied, because a slice of one byte would hold the whole read buffer that it
 * came in.
 */
final class KeptBytes {
    private static final int MIN_BYTES = 1 << 10;
    private static final int MAX_INITIAL_BYTES = 64 << 10;

    private final ByteBufAllocator allocator;
    private final BufferBudget budget;
    private final int initialBytes;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;
    private int countedBytes;
    private boolean withinBudget = true;

    /**
     * Creates an empty copy, which takes memory only when the first part comes.
     *
     * @param expectedBytes size that is expected; -1 if unknown
     */
    KeptBytes(ByteBufAllocator allocator, BufferBudget budget, long expectedBytes) {
        this.allocator = allocator;
        this.budget = budget;
        this.initialBytes = (int) Math.min(Math.max(expectedBytes, MIN_BYTES), MAX_INITIAL_BYTES);
    }

    /** Copies the part; returns whether the budget still has room. */
    boolean append(ByteBuf part) {
        if (!part.isReadable()) {
            return withinBudget;
        }
        if (bytes == Unpooled.EMPTY_BUFFER) {
            bytes = allocator.buffer(Math.max(initialBytes, part.readableBytes()));
        }
        bytes.writeBytes(part, part.readerIndex(), part.readableBytes());
        int grown = bytes.capacity() - countedBytes;
        countedBytes = bytes.capacity();
        withinBudget &= budget.hold(grown);
        return withinBudget;
    }

    int size() {
        return bytes.readableBytes();
    }

    /** A view of the bytes, which its receiver releases; they must not be appended to any more. */
    ByteBuf share() {
        return bytes.retainedDuplicate();
    }

    /** A copy of the bytes. */
    byte[] copy() {
        return ByteBufUtil.getBytes(bytes);
    }

    /** Gives the memory back; shared views stay valid until their receivers release them. */
    void release() {
        bytes.release();
        bytes = Unpooled.EMPTY_BUFFER;
        budget.release(countedBytes);
        countedBytes = 0;
    }
}
