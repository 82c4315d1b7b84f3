package org.quetzalscale.core.job;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.quetzalscale.core.table.RowCodec;

/** Codec that encodes a value as its toString text and keeps the value in memory for decoding. */
final class MemoryCodec<T> implements RowCodec<T> {
    private final Map<String, T> values = new ConcurrentHashMap<>();

    @Override
    public String encode(T value) {
        String text = value.toString();
        values.put(text, value);
        return text;
    }

    @Override
    public T decode(String text) {
        return values.get(text);
    }
}
