package org.quetzalscale.standin.experiment;

/** One request of a model. Times are in microseconds. */
final class ModelRequest {
    final long arrivedMicros;
    final long deadlineMicros;
    final long serviceMicros;
    boolean started;

    ModelRequest(long arrivedMicros, long deadlineMicros, long serviceMicros) {
        this.arrivedMicros = arrivedMicros;
        this.deadlineMicros = deadlineMicros;
        this.serviceMicros = serviceMicros;
    }
}
