package org.quetzalscale.standin.soak;

import java.util.HashMap;
import java.util.Map;

/**
 * What a task does, from the specification text of its job.
 *
 * @param millis how long it takes
 * @param lasting whether it runs until it is stopped
 * @param fails whether it ends as failed
 */
record WorkPlan(long millis, boolean lasting, boolean fails) {
    private static final int FAILING_ONE_IN = 60;
    private static final int PERCENT = 100;
    private static final int LEAST_PERCENT = 60;
    private static final int PERCENT_RANGE = 80;

    /** The text of a job whose tasks take about so long. */
    static String text(long millis, boolean lasting) {
        return "millis=" + millis + " lasting=" + lasting;
    }

    /** What a run of a task does; the same run always does the same. */
    static WorkPlan of(String text, String task, long run) {
        Map<String, String> fields = new HashMap<>();
        for (String word : text.split(" ")) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                fields.put(word.substring(0, equals), word.substring(equals + 1));
            }
        }
        int hash = (task.hashCode() * 31 + Long.hashCode(run)) * 0x9E3779B9 >>> 8;
        int percent = LEAST_PERCENT + hash % PERCENT_RANGE;
        long millis = Long.parseLong(fields.getOrDefault("millis", "500")) * percent / PERCENT;
        boolean lasting = Boolean.parseBoolean(fields.get("lasting"));
        return new WorkPlan(
                millis, lasting, !lasting && hash / PERCENT_RANGE % FAILING_ONE_IN == 0);
    }
}
