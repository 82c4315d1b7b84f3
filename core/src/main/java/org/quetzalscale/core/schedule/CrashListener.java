package org.quetzalscale.core.schedule;

import java.util.List;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.task.TaskRef;

/** Receives what a scheduler concludes from crashes of workers. */
public interface CrashListener {
    /** Ignores all events. */
    CrashListener NONE =
            new CrashListener() {
                @Override
                public void workerCrashed(WorkerId worker, List<TaskRef> suspects) {}

                @Override
                public void taskGivenUp(TaskRef task, int crashes) {}
            };

    /**
     * A worker ended without notice.
     *
     * @param suspects the tasks that may have caused it
     */
    void workerCrashed(WorkerId worker, List<TaskRef> suspects);

    /** A job fails, because workers crashed under one of its tasks. */
    void taskGivenUp(TaskRef task, int crashes);
}
