package org.quetzalscale.core.job;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.table.RowKey;

/** Row keys of jobs, and the derivation of job ids from submission keys. */
public final class JobKeys {
    /** Prefix of the row keys of open jobs, which are those that have not ended. */
    public static final String OPEN_PREFIX = "job/";

    private static final int ID_CHARS = 32;

    private JobKeys() {}

    /** Row key of an open job. */
    public static RowKey openJob(JobId id) {
        return RowKey.of("job", id.value());
    }

    /** Row key of an ended job. */
    public static RowKey endedJob(JobId id) {
        return RowKey.of("job-done", id.value());
    }

    /** Row key of a team's upper limit. */
    public static RowKey limit(TeamId team) {
        return RowKey.of("limit", team.value());
    }

    /** Job id for a team's submission key. It is the same on every instance. */
    public static JobId derivedId(TeamId team, String submissionKey) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(team.value().getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            byte[] hash = digest.digest(submissionKey.getBytes(StandardCharsets.UTF_8));
            return new JobId("k" + HexFormat.of().formatHex(hash).substring(0, ID_CHARS));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }
}
