package org.quetzalscale.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.lease.LeaseView;
import org.quetzalscale.core.table.ChangedRow;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;

final class RelayCodecTest {
    /** Guards against fields that are lost or decoded in a different order. */
    @Property(tries = 300)
    void decodesWhatItEncoded(@ForAll("frames") RelayFrame frame) {
        assertThat(RelayCodec.decode(RelayCodec.encode(frame))).isEqualTo(frame);
    }

    /** Guards against invalid bytes that crash the process or pass as a frame. */
    @Property(tries = 300)
    void rejectsTruncatedAndExtendedFrames(@ForAll("frames") RelayFrame frame, @ForAll byte extra) {
        byte[] bytes = RelayCodec.encode(frame);
        byte[] longer = java.util.Arrays.copyOf(bytes, bytes.length + 1);
        longer[bytes.length] = extra;
        byte[] shorter = java.util.Arrays.copyOf(bytes, bytes.length - 1);
        assertRejected(longer);
        assertRejected(shorter);
    }

    private static void assertRejected(byte[] bytes) {
        assertThatThrownBy(() -> RelayCodec.decode(bytes))
                .isInstanceOf(QuetzalscaleException.class)
                .extracting(failure -> ((QuetzalscaleException) failure).kind())
                .isEqualTo(ErrorKind.MALFORMED_FRAME);
    }

    @Provide
    Arbitrary<RelayFrame> frames() {
        Arbitrary<Long> numbers = Arbitraries.longs();
        Arbitrary<String> texts = Arbitraries.strings().ofMaxLength(20);
        Arbitrary<RowKey> keys =
                Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(20).map(RowKey::new);
        Arbitrary<Optional<String>> values = texts.optional();
        Arbitrary<List<ChangedRow>> rows =
                Combinators.combine(keys, numbers, values).as(ChangedRow::new).list();
        Arbitrary<Transaction> transactions =
                Combinators.combine(
                                Combinators.combine(keys, numbers).as(Condition::new).list(),
                                Combinators.combine(keys, values).as(Mutation::new).list())
                        .as(Transaction::new);
        return Arbitraries.oneOf(
                Combinators.combine(numbers, keys).as(RelayFrame.Read::new),
                Combinators.combine(numbers, texts).as(RelayFrame.Scan::new),
                Combinators.combine(numbers, texts, numbers, Arbitraries.integers())
                        .as(RelayFrame.Feed::new),
                Combinators.combine(numbers, transactions).as(RelayFrame.Commit::new),
                Combinators.combine(numbers, rows, numbers, Arbitraries.of(true, false))
                        .as(RelayFrame.Rows::new),
                Combinators.combine(
                                numbers,
                                Arbitraries.oneOf(
                                        Arbitraries.longs()
                                                .greaterOrEqual(1)
                                                .map(CommitResult::committed),
                                        keys.map(CommitResult::conflict)))
                        .as(RelayFrame.Committed::new),
                Combinators.combine(numbers, Arbitraries.of(ErrorKind.values()), texts)
                        .as(RelayFrame.Failed::new),
                numbers.map(RelayFrame.ViewLease::new),
                Combinators.combine(
                                numbers,
                                Combinators.combine(Arbitraries.of(true, false), texts, numbers)
                                        .as(LeaseView::new))
                        .as(RelayFrame.LeaseViewed::new));
    }
}
