package org.quetzalscale.core.queue;

/**
 * What a started request was charged for.
 *
 * @param startMillis monotonic time of its first start
 * @param chargedMillis slot time that its class was charged at the start, in milliseconds
 */
record Charge(long startMillis, double chargedMillis) {}
