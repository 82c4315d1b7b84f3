package org.quetzalscale.core.job;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.quetzalscale.core.table.RowCodec;

/** Stores records as the text of their toString, and finds them again by it. */
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
