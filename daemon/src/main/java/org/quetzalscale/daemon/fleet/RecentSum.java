package org.quetzalscale.daemon.fleet;

/** Sum of the amounts of a recent time, at least as long as given and at most twice as long. */
final class RecentSum {
    private final long spanMillis;
    private long former;
    private long current;
    private long currentSinceMillis;

    RecentSum(long spanMillis) {
        this.spanMillis = spanMillis;
    }

    void add(long amount, long nowMillis) {
        advance(nowMillis);
        current += amount;
    }

    long sum(long nowMillis) {
        advance(nowMillis);
        return former + current;
    }

    private void advance(long nowMillis) {
        long age = nowMillis - currentSinceMillis;
        if (age < spanMillis) {
            return;
        }
        former = age < 2 * spanMillis ? current : 0;
        current = 0;
        currentSinceMillis = nowMillis;
    }
}
