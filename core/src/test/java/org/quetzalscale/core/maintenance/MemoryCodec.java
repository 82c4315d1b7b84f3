package org.quetzalscale.core.maintenance;

import java.util.ArrayList;
import java.util.List;
import org.quetzalscale.core.table.RowCodec;

/** Encodes an object as its index in an in-memory list, because core has no JSON library. */
final class MemoryCodec<T> implements RowCodec<T> {
    private final List<T> values = new ArrayList<>();

    @Override
    public String encode(T value) {
        values.add(value);
        return Integer.toString(values.size() - 1);
    }

    @Override
    public T decode(String text) {
        return values.get(Integer.parseInt(text));
    }
}
