package org.quetzalscale.daemon.sibling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalscale.core.config.Change;
import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.config.Statement;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.TeamSpec;
import org.quetzalscale.core.route.InstanceLoad;

class SiblingFrameTest {
    static Stream<SiblingFrame> frames() {
        SiblingFrame.Introduction introduction =
                new SiblingFrame.Introduction(
                        new InstanceId("e1"),
                        -5,
                        "10.0.0.1:7000",
                        Map.of(new InstanceId("e2"), "10.0.0.2:7000"));
        Change put =
                new Change(new Revision(9), Kind.TEAMS, "a", Optional.of(new TeamSpec(0.5, 3)));
        Change delete = new Change(new Revision(10), Kind.TEAMS, "a", Optional.empty());
        return Stream.of(
                new SiblingFrame.Hello(introduction),
                new SiblingFrame.HelloAck(introduction),
                new SiblingFrame.Ping(Long.MAX_VALUE),
                new SiblingFrame.Pong(3, new Statement(new Revision(8), new Revision(7), 2_999)),
                new SiblingFrame.ChangeFrame(new ChangeRecord(put, "e1/x")),
                new SiblingFrame.ChangeFrame(new ChangeRecord(delete, "e1/y")),
                new SiblingFrame.Confirm(new Revision(1)),
                new SiblingFrame.SnapshotRequest(Revision.NONE),
                new SiblingFrame.LoadReport(
                        new InstanceLoad(
                                Map.of(new WorkerId("w1"), 8), Map.of(new PoolId("p1"), 9))),
                new SiblingFrame.JobWake());
    }

    /** Guards against a reason that repeats its prefix. */
    @Test
    void namesTheReasonOnce() {
        byte[] frame = SiblingFrameEncoder.encode(new SiblingFrame.Confirm(new Revision(1)));
        assertThatThrownBy(() -> SiblingFrameDecoder.decode(Arrays.copyOf(frame, frame.length + 1)))
                .hasMessage("malformed frame: bytes after the frame");
    }

    @ParameterizedTest
    @MethodSource("frames")
    void decodesWhatItEncoded(SiblingFrame frame) {
        assertThat(SiblingFrameDecoder.decode(SiblingFrameEncoder.encode(frame))).isEqualTo(frame);
    }

    @ParameterizedTest
    @MethodSource("frames")
    void rejectsATruncatedFrameAndTrailingBytes(SiblingFrame frame) {
        byte[] bytes = SiblingFrameEncoder.encode(frame);
        for (int length = 0; length < bytes.length; length++) {
            expectMalformed(Arrays.copyOf(bytes, length));
        }
        expectMalformed(Arrays.copyOf(bytes, bytes.length + 1));
    }

    // Any bytes either decode to a frame or fail with MALFORMED_FRAME.
    @Property(tries = 2_000, seed = "31")
    void failsOnlyWithMalformedFrame(@ForAll byte[] bytes) {
        try {
            SiblingFrameDecoder.decode(bytes);
        } catch (QuetzalscaleException e) {
            assertThat(e.kind()).isEqualTo(ErrorKind.MALFORMED_FRAME);
        }
    }

    @Test
    void rejectsASnapshotPartOutOfRange() {
        expectMalformed(
                SiblingFrameEncoder.encode(new SiblingFrame.SnapshotPart(2, 2, new byte[1])));
    }

    private static void expectMalformed(byte[] bytes) {
        assertThatThrownBy(() -> SiblingFrameDecoder.decode(bytes))
                .isInstanceOfSatisfying(
                        QuetzalscaleException.class,
                        e -> assertThat(e.kind()).isEqualTo(ErrorKind.MALFORMED_FRAME));
    }
}
