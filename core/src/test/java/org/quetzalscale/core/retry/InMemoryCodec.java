package org.quetzalscale.core.retry;

import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.table.RowCodec;

/** A codec that keeps the values in memory and encodes them as their index. */
final class InMemoryCodec<T> implements RowCodec<T> {
    private final List<T> values = new ArrayList<>();

    @Override
    public String encode(T value) {
        values.add(value);
        return String.valueOf(values.size() - 1);
    }

    @Override
    public T decode(String text) {
        return values.get(Integer.parseInt(text));
    }
}
