package org.quetzalscale.daemon.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Runs tasks in the order of their virtual times, on the thread of the caller. */
final class VirtualLoop {
    private record Task(long atMillis, long order, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
    private long nowMillis = 1_000;
    private long lastOrder;

    long nowMillis() {
        return nowMillis;
    }

    void after(long millis, Runnable action) {
        tasks.add(new Task(nowMillis + Math.max(0, millis), ++lastOrder, action));
    }

    /** Runs all tasks up to a time. */
    void runUntil(long millis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= millis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        nowMillis = millis;
    }

    /**
     * Returns an executor that runs its actions on this loop.
     *
     * @param gate receives each action when its time has come, and decides whether to run it
     */
    ScheduledExecutorService executor(Consumer<Runnable> gate) {
        return new Executor(gate);
    }

    private final class Executor extends AbstractExecutorService
            implements ScheduledExecutorService {
        private final Consumer<Runnable> gate;

        Executor(Consumer<Runnable> gate) {
            this.gate = gate;
        }

        @Override
        public void execute(Runnable action) {
            after(0, () -> gate.accept(action));
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable action, long delay, TimeUnit unit) {
            after(unit.toMillis(delay), () -> gate.accept(action));
            return null;
        }

        @Override
        public <V> ScheduledFuture<V> schedule(Callable<V> action, long delay, TimeUnit unit) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ScheduledFuture<?> scheduleAtFixedRate(
                Runnable action, long delay, long period, TimeUnit unit) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(
                Runnable action, long delay, long period, TimeUnit unit) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void shutdown() {}

        @Override
        public List<Runnable> shutdownNow() {
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return false;
        }

        @Override
        public boolean isTerminated() {
            return false;
        }

        @Override
        public boolean awaitTermination(long timeout, TimeUnit unit) {
            return true;
        }
    }
}
