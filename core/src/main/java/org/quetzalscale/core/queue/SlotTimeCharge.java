package org.quetzalscale.core.queue;

/**
 * The slot time that a request was charged when it started, before its duration was known.
 *
 * @param startMillis monotonic time of the first attempt, in milliseconds
 * @param chargedMillis slot time charged to the team, in milliseconds
 */
record SlotTimeCharge(long startMillis, double chargedMillis) {}
