package org.quetzalscale.core.schedule;

/**
 * How far the order and placement of tasks look ahead.
 *
 * @param maxReservations maximum number of steps of a pool that have a reservation at the same time
 * @param nextStepMillis a step counts as waiting if its earlier steps are expected to end within
 *     this time
 * @param packAboveUsedPart part of a pool's processors in use above which tasks that end are placed
 *     on the fullest workers instead of the emptiest
 * @param selectsOnTime whether {@link OnTimeSelection} leaves jobs out at overload
 */
record LookAhead(
        int maxReservations, long nextStepMillis, double packAboveUsedPart, boolean selectsOnTime) {
    /** In a pool that is used less, large tasks find room without packing. */
    private static final double PACK_ABOVE_USED_PART = 0.6;

    private static final long NEXT_STEP_MILLIS = 100;

    /** Reserves nothing: each task takes the best worker that is free. */
    static final LookAhead NONE = new LookAhead(0, 0, 1, false);

    /** One reservation, for the first step that does not fit (EASY backfill). */
    static final LookAhead FIRST_STEP =
            new LookAhead(1, NEXT_STEP_MILLIS, PACK_ABOVE_USED_PART, true);

    /** A reservation for each step that does not fit (conservative backfill). */
    static final LookAhead ALL_STEPS =
            new LookAhead(Integer.MAX_VALUE, NEXT_STEP_MILLIS, PACK_ABOVE_USED_PART, true);
}
