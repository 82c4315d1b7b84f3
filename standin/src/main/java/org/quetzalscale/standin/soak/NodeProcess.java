package org.quetzalscale.standin.soak;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** A node of the system as a process that is started, signalled and started again. */
final class NodeProcess {
    private static final List<String> ENVIRONMENT = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
    private static final String SETTINGS_VARIABLE = "QUETZALSCALE_NODE_FILE";
    private static final int OWN_END_RESTART_MILLIS = 500;
    private static final int GRACE_MILLIS = 6_000;

    private final NodeSettings settings;
    private final Path checkout;
    private final Path settingsFile;
    private final Path log;
    private final List<String> command;
    private final Scheduler scheduler;
    private final Timeline timeline;
    private final BiConsumer<String, String> onLogLine;
    private Process process;
    private boolean paused;
    private boolean stopped;
    private int restartMillis = OWN_END_RESTART_MILLIS;
    private int ownEnds;
    private long logPosition;

    /** Where a node's files are and who hears of its log lines. */
    record Context(
            Path checkout,
            Path folder,
            Scheduler scheduler,
            Timeline timeline,
            BiConsumer<String, String> onLogLine) {}

    NodeProcess(NodeSettings settings, Context context) throws IOException {
        this.settings = settings;
        this.checkout = context.checkout();
        this.settingsFile = context.folder().resolve(settings.name() + ".json");
        this.log = context.folder().resolve(settings.name() + ".log");
        this.command = NodeCommand.read(checkout);
        this.scheduler = context.scheduler();
        this.timeline = context.timeline();
        this.onLogLine = context.onLogLine();
        settings.write(checkout, settingsFile);
        Files.deleteIfExists(log);
    }

    String name() {
        return settings.name();
    }

    InetSocketAddress callersAddress() {
        return new InetSocketAddress("127.0.0.1", settings.port());
    }

    InetSocketAddress readinessAddress() {
        return new InetSocketAddress("127.0.0.1", settings.readyPort());
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    synchronized boolean isRunning() {
        return isAlive() && !paused;
    }

    synchronized long pid() {
        return process.pid();
    }

    /** How often the process has ended by itself. */
    synchronized int ownEnds() {
        return ownEnds;
    }

    /** Starts the process unless it runs. */
    synchronized void start() {
        if (stopped || isAlive()) {
            return;
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(ENVIRONMENT);
        environment.put(SETTINGS_VARIABLE, settingsFile.toString());
        builder.directory(checkout.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        try {
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        paused = false;
        restartMillis = -1;
        timeline.add("node %s: started, pid %d", name(), process.pid());
        process.onExit().thenAccept(this::onExit);
    }

    private synchronized void onExit(Process ended) {
        timeline.add("node %s: has ended with %d", name(), ended.exitValue());
        int delay = restartMillis;
        if (delay < 0) {
            ownEnds++;
            timeline.add("node %s: ENDED BY ITSELF", name());
            delay = OWN_END_RESTART_MILLIS;
        }
        scheduler.after(delay, this::start);
    }

    /** Sends SIGTERM, and SIGKILL if the process does not end in time; then starts it again. */
    synchronized void terminate(int newRestartMillis) {
        restartMillis = newRestartMillis;
        Process terminated = process;
        process.destroy();
        scheduler.after(GRACE_MILLIS, terminated::destroyForcibly);
    }

    /** Sends SIGKILL, and starts the process again. */
    synchronized void kill(int newRestartMillis) {
        restartMillis = newRestartMillis;
        process.destroyForcibly();
    }

    /** Stops the execution of the process. */
    synchronized void pause() {
        if (isRunning()) {
            paused = true;
            signal("STOP");
        }
    }

    synchronized void resume() {
        if (isAlive() && paused) {
            signal("CONT");
        }
        paused = false;
    }

    /** Ends the process for good. */
    synchronized void stop() {
        stopped = true;
        restartMillis = 0;
        if (process != null) {
            process.destroyForcibly();
        }
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Passes on the lines that the process has logged since the last call. */
    void readLog() {
        try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
            if (file.length() <= logPosition) {
                return;
            }
            byte[] bytes = new byte[(int) (file.length() - logPosition)];
            file.seek(logPosition);
            file.readFully(bytes);
            int complete = bytes.length;
            while (complete > 0 && bytes[complete - 1] != '\n') {
                complete--;
            }
            logPosition += complete;
            new String(bytes, 0, complete, StandardCharsets.UTF_8)
                    .lines()
                    .forEach(line -> onLogLine.accept(name(), line));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
