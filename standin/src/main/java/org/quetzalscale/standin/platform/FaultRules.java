package org.quetzalscale.standin.platform;

import java.util.List;

/** The faults of one part of the platform; the first rule that applies to a call is used. */
public record FaultRules(List<FaultRule> rules) {
    /** Copies the list; an absent one is empty. */
    public FaultRules {
        rules = rules == null ? List.of() : List.copyOf(rules);
    }
}
