package org.quetzalscale.standin.soak;

/** A job of a client, with what the client has been told of it. Thread-safe. */
final class Job {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final String id;
    private final String service;
    private final Tenant tenant;
    private final boolean lasting;
    private final String body;
    private double accepted = NEVER;
    private double cancelSent = NEVER;
    private double cancelled = NEVER;
    private double completed = NEVER;
    private String shownBy = "";
    private String finalState = "";

    Job(String id, String service, Tenant tenant, boolean lasting, String body) {
        this.id = id;
        this.service = service;
        this.tenant = tenant;
        this.lasting = lasting;
        this.body = body;
    }

    String id() {
        return id;
    }

    String path() {
        return DeploymentConfig.path(service) + id;
    }

    Tenant tenant() {
        return tenant;
    }

    boolean isLasting() {
        return lasting;
    }

    String body() {
        return body;
    }

    synchronized void onAccepted(double seconds) {
        accepted = Math.min(accepted, seconds);
    }

    synchronized void onCancelSent(double seconds) {
        cancelSent = Math.min(cancelSent, seconds);
    }

    synchronized void onCancelled(double seconds) {
        cancelled = Math.min(cancelled, seconds);
    }

    synchronized void onState(String state, String node, double seconds) {
        finalState = state;
        if (state.equals("completed") && completed == NEVER) {
            completed = seconds;
            shownBy = node;
        }
    }

    /** Whether its completion is owed and not known. */
    synchronized boolean isOpen() {
        return toRecord().isOwed() && !isFinal();
    }

    private boolean isFinal() {
        return finalState.equals("completed") || finalState.equals("failed");
    }

    synchronized JobRecord toRecord() {
        return new JobRecord(
                id, lasting, accepted, cancelSent, cancelled, completed, shownBy, finalState);
    }
}
