package org.quetzalscale.standin.soak;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Runs short tasks in the order of their times, on one thread. */
final class Scheduler {
    private final ScheduledExecutorService executor;

    Scheduler(String name) {
        executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    void after(long millis, Runnable task) {
        executor.schedule(guarded(task), millis, TimeUnit.MILLISECONDS);
    }

    void every(long millis, Runnable task) {
        executor.scheduleWithFixedDelay(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    void stop() {
        executor.shutdownNow();
    }

    /** An exception must not end a periodic task unnoticed. */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                Logger.error(e, "event=soak_task_failed");
            }
        };
    }
}
