package org.quetzalscale.daemon.fleet;

import java.util.List;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.schedule.CrashListener;
import org.quetzalscale.core.task.TaskRef;
import org.tinylog.Logger;

/** Logs crashes of workers, and the tasks that are given up because of them. */
final class CrashLogger implements CrashListener {
    @Override
    public void workerCrashed(WorkerId worker, List<TaskRef> suspects) {
        Logger.warn("event=worker_crashed worker={} suspects={}", worker, suspects);
    }

    @Override
    public void taskGivenUp(TaskRef task, int crashes) {
        Logger.warn("event=task_given_up task={} crashes={}", task, crashes);
    }
}
