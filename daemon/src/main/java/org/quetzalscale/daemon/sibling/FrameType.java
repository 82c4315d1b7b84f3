package org.quetzalscale.daemon.sibling;

/** Frame types with their number and their number of fields on the wire. */
enum FrameType {
    HELLO(1, 5),
    HELLO_ACK(2, 5),
    PING(3, 1),
    PONG(4, 4),
    CHANGE(5, 1),
    CONFIRM(6, 1),
    SNAPSHOT_REQUEST(7, 1),
    SNAPSHOT(8, 3),
    LOAD_REPORT(9, 2),
    JOB_WAKE(10, 0);

    /** Version of the protocol, the first field of a hello. */
    static final int PROTOCOL_VERSION = 1;

    private final int number;
    private final int fields;

    FrameType(int number, int fields) {
        this.number = number;
        this.fields = fields;
    }

    int number() {
        return number;
    }

    int fields() {
        return fields;
    }

    /** The type with this number, or null. */
    static FrameType ofNumber(int number) {
        return number >= 1 && number <= values().length ? values()[number - 1] : null;
    }
}
