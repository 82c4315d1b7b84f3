package org.quetzalscale.ctl.apply;

/** What becomes of a resource. */
public enum Action {
    /** It did not exist. */
    CREATED("created"),
    /** It has another declaration now. */
    CHANGED("changed"),
    /** It is as declared. */
    UNCHANGED("unchanged"),
    /** It is not declared, and was pruned. */
    DELETED("deleted");

    private final String title;

    Action(String title) {
        this.title = title;
    }

    /** The word in reports. */
    public String title() {
        return title;
    }
}
