package org.quetzalscale.standin.target;

/**
 * How a target behaves beyond what each request asks for.
 *
 * @param shuttingDown refuses new requests and closes each connection after its answer
 * @param failAll answers every request that it runs with status 500
 * @param closeInBody closes the connection after half of each answer's body
 * @param extraMillis time added to every run, in ms
 */
public record TargetBehavior(
        boolean shuttingDown, boolean failAll, boolean closeInBody, long extraMillis) {
    /** Does as each request asks. */
    public static final TargetBehavior NORMAL = new TargetBehavior(false, false, false, 0);
}
