package org.quetzalscale.core.limit;

import java.util.Map;
import java.util.TreeMap;
import org.quetzalscale.core.table.RowCodec;

/** Encodes a limit row as the limit, then holder, granted and wanted units of each block. */
final class TextLimitRowCodec implements RowCodec<LimitRow> {
    @Override
    public String encode(LimitRow row) {
        StringBuilder text = new StringBuilder().append(row.limit());
        new TreeMap<>(row.blocks())
                .forEach(
                        (holder, block) ->
                                text.append(' ')
                                        .append(holder)
                                        .append(' ')
                                        .append(block.granted())
                                        .append(' ')
                                        .append(block.wanted()));
        return text.toString();
    }

    @Override
    public LimitRow decode(String text) {
        String[] parts = text.split(" ");
        Map<String, Block> blocks = new TreeMap<>();
        for (int i = 1; i < parts.length; i += 3) {
            blocks.put(
                    parts[i],
                    new Block(Integer.parseInt(parts[i + 1]), Integer.parseInt(parts[i + 2])));
        }
        return new LimitRow(Integer.parseInt(parts[0]), blocks);
    }
}
