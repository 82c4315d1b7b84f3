package org.quetzalscale.standin.load;

/**
 * One request of the schedule.
 *
 * @param atMicros when it arrives, in microseconds from the start
 * @param queue position of its queue
 * @param team position of its team
 * @param serviceMillis time that it asks for, in ms
 * @param post whether it is sent by POST
 * @param keyed whether it carries an idempotency key
 */
record Arrival(long atMicros, int queue, int team, long serviceMillis, boolean post, boolean keyed)
        implements Comparable<Arrival> {
    @Override
    public int compareTo(Arrival other) {
        return Long.compare(atMicros, other.atMicros);
    }
}
