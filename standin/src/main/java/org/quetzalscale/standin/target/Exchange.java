package org.quetzalscale.standin.target;

/** One request on a connection and the progress of its answer; used on one event loop. */
final class Exchange {
    static final int NOT_LOGGED = -1;

    private final RequestPlan plan;
    private final String requestId;
    private boolean keepAlive;
    private final boolean refused;
    private final int logPosition;
    private boolean received;
    private boolean answering;
    private long remainingBytes;

    Exchange(
            RequestPlan plan,
            String requestId,
            boolean keepAlive,
            boolean refused,
            int logPosition) {
        this.plan = plan;
        this.requestId = requestId;
        this.keepAlive = keepAlive;
        this.refused = refused;
        this.logPosition = logPosition;
    }

    RequestPlan plan() {
        return plan;
    }

    String requestId() {
        return requestId;
    }

    boolean keepAlive() {
        return keepAlive;
    }

    /** Must be called before the head of the answer is written, which tells the caller so. */
    void closeAfterAnswer() {
        keepAlive = false;
    }

    boolean refused() {
        return refused;
    }

    int logPosition() {
        return logPosition;
    }

    boolean echoes() {
        return plan.echo() && !refused;
    }

    boolean received() {
        return received;
    }

    void markReceived() {
        received = true;
    }

    /** Whether a generated body is being written. */
    boolean answering() {
        return answering;
    }

    void startAnswer(long sizeBytes) {
        answering = true;
        remainingBytes = sizeBytes;
    }

    long remainingBytes() {
        return remainingBytes;
    }

    void wrote(int bytes) {
        remainingBytes -= bytes;
    }
}
