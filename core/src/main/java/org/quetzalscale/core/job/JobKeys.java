package org.quetzalscale.core.job;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.table.RowKey;

/** Keys of the rows of jobs, and the identifier that a submission key stands for. */
public final class JobKeys {
    /** Prefix of the rows of jobs that have not ended. */
    public static final String OPEN_PREFIX = "job/";

    private static final int ID_CHARS = 32;

    private JobKeys() {}

    /** The row of a job that has not ended. */
    public static RowKey openJob(JobId id) {
        return RowKey.of("job", id.value());
    }

    /** The row of a job that has ended. */
    public static RowKey endedJob(JobId id) {
        return RowKey.of("job-done", id.value());
    }

    /** The row of a team's upper limit. */
    public static RowKey limit(TeamId team) {
        return RowKey.of("limit", team.value());
    }

    /** The identifier of the job that a team submits with this key, the same on every instance. */
    public static JobId derivedId(TeamId team, String submissionKey) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(team.value().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            byte[] hash = digest.digest(submissionKey.getBytes(StandardCharsets.UTF_8));
            return new JobId("k" + HexFormat.of().formatHex(hash).substring(0, ID_CHARS));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
