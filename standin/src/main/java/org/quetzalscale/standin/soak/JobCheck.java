package org.quetzalscale.standin.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Compares the runs of jobs with what their clients were told. */
final class JobCheck {
    /** Time until a cancellation is in force. */
    private static final double CANCEL_SECONDS = 3;

    /** Time until a completion is in force at all nodes. */
    private static final double COMPLETION_SECONDS = 1;

    private static final int MAX_ATTEMPTS = 3;

    private final Contact contact;
    private final Map<String, List<Run>> runsByJob;
    private final List<Violation> violations = new ArrayList<>();

    private JobCheck(Contact contact, List<Run> runs) {
        this.contact = contact;
        this.runsByJob = runs.stream().collect(Collectors.groupingBy(Run::job));
    }

    static List<Violation> check(List<JobRecord> jobs, List<Run> runs, Contact contact) {
        JobCheck check = new JobCheck(contact, runs);
        jobs.forEach(check::checkJob);
        return check.violations;
    }

    private void checkJob(JobRecord job) {
        List<Run> runs = runsByJob.getOrDefault(job.id(), List.of());
        for (Run run : runs) {
            checkStart(
                    Violation.Rule.START_AFTER_CANCELLATION, job.cancelled() + CANCEL_SECONDS, run);
            checkStart(
                    Violation.Rule.START_AFTER_COMPLETION,
                    job.completed() + COMPLETION_SECONDS,
                    run);
        }
        if (job.isOwed() && !job.finalState().equals("completed") && !hasFailed(job, runs)) {
            violations.add(
                    new Violation(
                            Violation.Rule.LOST,
                            job.id() + " is " + job.finalState() + " at the end",
                            runs.stream().map(Run::toString).toList()));
        }
    }

    private void checkStart(Violation.Rule rule, double limit, Run run) {
        if (run.start() > limit && !run.late() && contact.isInTouch(run.caller(), run.start())) {
            String summary =
                    String.format(
                            Locale.ROOT, "%s: %.3f s too late", run.task(), run.start() - limit);
            violations.add(Violation.of(rule, summary, run));
        }
    }

    /** Whether the job is shown as failed and a task of it has used up its attempts. */
    private static boolean hasFailed(JobRecord job, List<Run> runs) {
        return job.finalState().equals("failed")
                && runs.stream()
                        .filter(run -> run.how().equals("failed"))
                        .collect(Collectors.groupingBy(Run::task, Collectors.counting()))
                        .values()
                        .stream()
                        .anyMatch(failed -> failed >= MAX_ATTEMPTS);
    }
}
