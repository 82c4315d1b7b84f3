package org.quetzalscale.standin.experiment;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Runs one of the experiments that docs/decisions cites, and prints its table. */
@Command(name = "experiment", description = "Compare policies in a seeded queueing model")
public final class ExperimentCommand implements Runnable {
    @Required
    @Arguments(title = "name", description = "slots, limits or retries")
    @AllowedRawValues(allowedValues = {"slots", "limits", "retries"})
    private String name;

    @Override
    public void run() {
        switch (name) {
            case "slots" -> SlotSchemeExperiment.run(System.out);
            case "limits" -> LimitExperiment.run(System.out);
            default -> RetryExperiment.run(System.out);
        }
    }
}
