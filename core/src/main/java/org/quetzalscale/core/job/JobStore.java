package org.quetzalscale.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.ToIntFunction;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.JobId;
import org.quetzalscale.core.id.TeamId;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.lease.Lease;
import org.quetzalscale.core.limit.Block;
import org.quetzalscale.core.limit.LimitRow;
import org.quetzalscale.core.table.CommitResult;
import org.quetzalscale.core.table.Condition;
import org.quetzalscale.core.table.Mutation;
import org.quetzalscale.core.table.Row;
import org.quetzalscale.core.table.RowKey;
import org.quetzalscale.core.table.Transaction;
import org.quetzalscale.core.table.TransactionalTable;

/**
 * Stores jobs in the platform's transactional table. Every write is one transaction. If the
 * response to a commit of jobs is lost, the rows are read back. Stages fail with STORE_UNAVAILABLE
 * if nothing was changed and with STORE_OUTCOME_UNKNOWN if the outcome could not be determined.
 */
public final class JobStore {
    private static final int MAX_ATTEMPTS = 8;

    private final TransactionalTable table;
    private final JobCodecs codecs;
    private final JobRows jobRows;

    /** Creates a store on a table. */
    public JobStore(TransactionalTable table, JobCodecs codecs) {
        this.table = table;
        this.codecs = codecs;
        this.jobRows = new JobRows(table, codecs);
    }

    /**
     * Submits a job; the stage completes when its row is durable. A repeated submission with the
     * same id returns the current state of the job.
     *
     * @param id random id, or {@link JobKeys#derivedId} of a submission key
     * @param nowMillis wall-clock time in milliseconds
     * @return the job; fails with IDEMPOTENCY_KEY_REUSED if the id belongs to a different job
     */
    public CompletionStage<JobRow> submit(JobId id, JobSpec spec, long nowMillis) {
        return submit(JobRow.submitted(id, spec, nowMillis), MAX_ATTEMPTS);
    }

    /**
     * Finds a job of a team.
     *
     * @return the job; fails with JOB_UNKNOWN if the team has no such job
     */
    public CompletionStage<JobRow> find(TeamId team, JobId id) {
        return jobRows.find(id)
                .thenApply(
                        found ->
                                found.map(StoredJob::job)
                                        .filter(job -> job.spec().team().equals(team))
                                        .orElseThrow(() -> unknownJob(id)));
    }

    /**
     * Cancels a job of a team. A queued job ends at once; the attempt of a running job is stopped
     * later, and the job may still succeed before that. An ended job is not changed.
     *
     * @return the job; fails with JOB_UNKNOWN if the team has no such job
     */
    public CompletionStage<JobRow> cancel(TeamId team, JobId id) {
        return cancel(team, id, MAX_ATTEMPTS);
    }

    /**
     * Cancels distinct jobs in one transaction, each as {@link #cancel} does.
     *
     * @return one result for each request, in order; or empty if nothing was changed because of a
     *     concurrent change of one of the jobs
     */
    public CompletionStage<Optional<List<CancellationResult>>> cancelBatch(
            List<Cancellation> requests) {
        CompletionStage<List<Optional<StoredJob>>> reads =
                CompletableFuture.completedFuture(new ArrayList<>());
        for (Cancellation request : requests) {
            reads =
                    reads.thenCombine(
                            jobRows.find(request.job()),
                            (found, stored) -> {
                                found.add(stored);
                                return found;
                            });
        }
        return reads.thenCompose(
                found -> {
                    List<JobChange> changes = new ArrayList<>();
                    List<CancellationResult> results = new ArrayList<>();
                    for (int i = 0; i < requests.size(); i++) {
                        results.add(planCancellation(requests.get(i), found.get(i), changes));
                    }
                    if (changes.isEmpty()) {
                        return CompletableFuture.completedFuture(Optional.of(results));
                    }
                    Transaction.Builder transaction = Transaction.builder();
                    changes.forEach(change -> jobRows.addChange(transaction, change));
                    return jobRows.commitAndReadBack(transaction.build(), changes)
                            .thenApply(written -> written.map(done -> results));
                });
    }

    /** Reads all jobs that have not ended. */
    public CompletionStage<List<StoredJob>> openJobs() {
        return table.scan(JobKeys.OPEN_PREFIX)
                .thenApply(rows -> rows.stream().map(jobRows::decode).toList());
    }

    /** Reads the limit rows of all teams that have one. */
    public CompletionStage<Map<TeamId, LimitRow>> limits() {
        return table.scan("limit/")
                .thenApply(
                        rows -> {
                            Map<TeamId, LimitRow> limits = new TreeMap<>();
                            for (Row row : rows) {
                                String team = row.key().value().substring("limit/".length());
                                limits.put(new TeamId(team), codecs.limit().decode(row.value()));
                            }
                            return limits;
                        });
    }

    /**
     * Commits changes of distinct jobs in one transaction that is fenced by the lease.
     *
     * @param declaredLimit configured upper limit of a team without a limit row, in units
     * @return the jobs as written; or empty if nothing was changed because the lease was lost, a
     *     row was changed concurrently, or a team has too few free units
     */
    public CompletionStage<Optional<List<StoredJob>>> commit(
            Lease lease, List<JobChange> changes, ToIntFunction<TeamId> declaredLimit) {
        Map<TeamId, Integer> units = new TreeMap<>();
        for (JobChange change : changes) {
            if (change.units() != 0) {
                units.merge(change.after().spec().team(), change.units(), Integer::sum);
            }
        }
        return readLimits(List.copyOf(units.keySet()))
                .thenCompose(
                        rows -> {
                            Transaction.Builder transaction =
                                    Transaction.builder().require(lease.fence());
                            for (Map.Entry<TeamId, Integer> entry : units.entrySet()) {
                                TeamId team = entry.getKey();
                                if (!addUnits(
                                        transaction,
                                        team,
                                        rows.get(team),
                                        entry.getValue(),
                                        declaredLimit)) {
                                    return CompletableFuture.completedFuture(Optional.empty());
                                }
                            }
                            changes.forEach(change -> jobRows.addChange(transaction, change));
                            return jobRows.commitAndReadBack(transaction.build(), changes);
                        });
    }

    /** Reads all quarantined workers with the reasons. */
    public CompletionStage<Map<WorkerId, String>> workerFaults() {
        return table.scan(WorkerFault.PREFIX)
                .thenApply(
                        rows -> {
                            Map<WorkerId, String> faults = new TreeMap<>();
                            for (Row row : rows) {
                                WorkerFault fault = codecs.workerFault().decode(row.value());
                                faults.put(fault.worker(), fault.reason());
                            }
                            return faults;
                        });
    }

    /** Quarantines a worker until {@link #liftQuarantine}; false if the lease was lost. */
    public CompletionStage<Boolean> quarantine(Lease lease, WorkerFault fault) {
        return table.commit(
                        Transaction.builder()
                                .require(lease.fence())
                                .put(
                                        workerFaultKey(fault.worker()),
                                        codecs.workerFault().encode(fault))
                                .build())
                .thenApply(CommitResult::isCommitted);
    }

    /** Allows jobs on a quarantined worker again, on behalf of an operator. */
    public CompletionStage<Void> liftQuarantine(WorkerId worker) {
        Mutation deletion = Mutation.delete(workerFaultKey(worker));
        return table.commit(new Transaction(List.of(), List.of(deletion)))
                .thenApply(result -> null);
    }

    /**
     * Writes the demand of jobs for units, so that instances return unused units.
     *
     * @param wanted demand in units by team, including the units of running jobs
     * @return false if nothing was changed because the lease was lost or a row was changed
     *     concurrently
     */
    public CompletionStage<Boolean> writeDemand(Lease lease, Map<TeamId, Integer> wanted) {
        return readLimits(List.copyOf(wanted.keySet()))
                .thenCompose(
                        rows -> {
                            Transaction.Builder transaction =
                                    Transaction.builder().require(lease.fence());
                            rows.forEach(
                                    (team, row) ->
                                            row.ifPresent(
                                                    present ->
                                                            addDemand(
                                                                    transaction,
                                                                    present,
                                                                    wanted.get(team))));
                            return table.commit(transaction.build());
                        })
                .thenApply(CommitResult::isCommitted);
    }

    /** Whether no other instance has acquired the lease since. */
    public CompletionStage<Boolean> isCurrent(Lease lease) {
        return table.read(lease.fence().key())
                .thenApply(
                        row -> row.isPresent() && row.get().version() == lease.fence().version());
    }

    private void addDemand(Transaction.Builder transaction, Row row, int wanted) {
        LimitRow limit = codecs.limit().decode(row.value());
        Block block = limit.block(LimitRow.JOBS);
        LimitRow changed = limit.withBlock(LimitRow.JOBS, new Block(block.granted(), wanted));
        transaction.replace(row, codecs.limit().encode(changed));
    }

    private static RowKey workerFaultKey(WorkerId worker) {
        return new RowKey(WorkerFault.PREFIX + worker.value());
    }

    private CompletionStage<JobRow> submit(JobRow job, int attemptsLeft) {
        RowKey key = JobKeys.openJob(job.id());
        Transaction transaction =
                Transaction.builder()
                        .require(Condition.absent(JobKeys.endedJob(job.id())))
                        .insert(key, codecs.job().encode(job))
                        .build();
        return JobRows.recoverUnknownOutcome(
                table.commit(transaction)
                        .thenCompose(
                                result ->
                                        result.isCommitted()
                                                ? CompletableFuture.completedFuture(job)
                                                : findSubmitted(job)),
                failure ->
                        jobRows.find(job.id())
                                .thenCompose(
                                        found -> {
                                            if (found.isPresent()) {
                                                return findSubmitted(job);
                                            }
                                            if (attemptsLeft <= 1) {
                                                return CompletableFuture.failedFuture(failure);
                                            }
                                            // The insert can succeed only once, so a delayed
                                            // first commit does no harm.
                                            return submit(job, attemptsLeft - 1);
                                        }));
    }

    private CompletionStage<JobRow> findSubmitted(JobRow submitted) {
        return jobRows.find(submitted.id())
                .thenApply(
                        found -> {
                            JobRow job = found.orElseThrow(() -> unknownJob(submitted.id())).job();
                            if (!job.spec().equals(submitted.spec())) {
                                throw new QuetzalscaleException(
                                        ErrorKind.IDEMPOTENCY_KEY_REUSED,
                                        "job "
                                                + job.id()
                                                + " was already submitted with this key and"
                                                + " different content");
                            }
                            return job;
                        });
    }

    private CompletionStage<JobRow> cancel(TeamId team, JobId id, int attemptsLeft) {
        return cancelBatch(List.of(new Cancellation(team, id)))
                .thenCompose(
                        results -> {
                            if (results.isPresent()) {
                                return results.get().get(0).toStage();
                            }
                            if (attemptsLeft <= 1) {
                                throw new QuetzalscaleException(
                                        ErrorKind.VERSION_CONFLICT,
                                        "job " + id + " was modified concurrently too often");
                            }
                            return cancel(team, id, attemptsLeft - 1);
                        });
    }

    private CancellationResult planCancellation(
            Cancellation request, Optional<StoredJob> found, List<JobChange> changes) {
        Optional<StoredJob> own =
                found.filter(stored -> stored.job().spec().team().equals(request.team()));
        if (own.isEmpty()) {
            return new CancellationResult(Optional.empty(), Optional.of(unknownJob(request.job())));
        }
        JobRow job = own.get().job();
        if (job.state().ended() || job.cancelRequested()) {
            return new CancellationResult(Optional.of(job), Optional.empty());
        }
        JobRow after =
                job.state() == JobState.QUEUED
                        ? job.withCancelRequested().withoutAttempt(JobState.CANCELLED, "cancelled")
                        : job.withCancelRequested();
        changes.add(new JobChange(own.get(), after, Optional.empty(), 0));
        return new CancellationResult(Optional.of(after), Optional.empty());
    }

    private boolean addUnits(
            Transaction.Builder transaction,
            TeamId team,
            Optional<Row> row,
            int units,
            ToIntFunction<TeamId> declaredLimit) {
        LimitRow limit =
                row.map(present -> codecs.limit().decode(present.value()))
                        .orElseGet(() -> new LimitRow(declaredLimit.applyAsInt(team), Map.of()));
        if (units > limit.free()) {
            return false;
        }
        Block block = limit.block(LimitRow.JOBS);
        int granted = Math.max(0, block.granted() + units);
        int wanted = units > 0 ? block.wanted() : block.wanted() + units;
        LimitRow changed =
                limit.withBlock(LimitRow.JOBS, new Block(granted, Math.max(granted, wanted)));
        String text = codecs.limit().encode(changed);
        if (row.isPresent()) {
            transaction.replace(row.get(), text);
        } else {
            transaction.insert(JobKeys.limit(team), text);
        }
        return true;
    }

    private CompletionStage<Map<TeamId, Optional<Row>>> readLimits(List<TeamId> teams) {
        CompletionStage<Map<TeamId, Optional<Row>>> rows =
                CompletableFuture.completedFuture(new TreeMap<>());
        for (TeamId team : teams) {
            rows =
                    rows.thenCombine(
                            table.read(JobKeys.limit(team)),
                            (found, row) -> {
                                found.put(team, row);
                                return found;
                            });
        }
        return rows;
    }

    private static QuetzalscaleException unknownJob(JobId id) {
        return new QuetzalscaleException(ErrorKind.JOB_UNKNOWN, "there is no job " + id);
    }
}
