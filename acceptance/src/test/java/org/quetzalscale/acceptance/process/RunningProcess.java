package org.quetzalscale.acceptance.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A program of ours that runs as a process of its own and prints the ports that it listens on. */
final class RunningProcess implements AutoCloseable {
    private static final String LISTENING = "listening ";
    private static final int START_SECONDS = 60;

    private final String name;
    private final Process process;
    private final List<String> output = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, CompletableFuture<Integer>> ports = new ConcurrentHashMap<>();
    private final CompletableFuture<Void> outputEnd = new CompletableFuture<>();

    private RunningProcess(String name, Process process) {
        this.name = name;
        this.process = process;
        Thread reader = new Thread(this::readOutput, "output-" + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts the main class with the test's class path and a small heap. */
    static RunningProcess start(String name, String mainClass, String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.add("-Xmx192m");
        command.add("-XX:+UseSerialGC");
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-cp");
        command.add(
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path")));
        command.add(mainClass);
        command.addAll(List.of(arguments));
        try {
            return new RunningProcess(
                    name, new ProcessBuilder(command).redirectErrorStream(true).start());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits for the port that the program prints under the name. */
    int port(String portName) {
        try {
            return ports.computeIfAbsent(portName, n -> new CompletableFuture<>())
                    .get(START_SECONDS, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(
                    name + " did not listen on " + portName + ": " + String.join("\n", output), e);
        }
    }

    /** Waits for the program to end and returns its exit code. */
    int exitCode(int seconds) {
        try {
            if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " still runs: " + output());
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Asks the program to stop, as the platform does before it replaces an instance. */
    void terminate() {
        process.destroy();
    }

    /** Ends the program at once. */
    void kill() {
        process.destroyForcibly();
        exitCode(START_SECONDS);
    }

    /** Stops the program's execution until {@link #resume}. */
    void pause() {
        signal("STOP");
    }

    /** Continues a paused program. */
    void resume() {
        signal("CONT");
    }

    long pid() {
        return process.pid();
    }

    /** Waits until everything that an ended program printed has been read. */
    void awaitOutputEnd() {
        outputEnd.orTimeout(START_SECONDS, TimeUnit.SECONDS).join();
    }

    String output() {
        return String.join("\n", new ArrayList<>(output));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private void signal(String signal) {
        try {
            int code =
                    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                            .start()
                            .waitFor();
            if (code != 0) {
                throw new IllegalStateException("signal " + signal + " not sent to " + name);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void readOutput() {
        try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                output.add(line);
                if (line.startsWith(LISTENING)) {
                    String[] parts = line.substring(LISTENING.length()).split(" ");
                    ports.computeIfAbsent(parts[0], n -> new CompletableFuture<>())
                            .complete(Integer.parseInt(parts[1]));
                }
            }
        } catch (IOException e) {
            output.add("output ended: " + e);
        } finally {
            outputEnd.complete(null);
        }
    }
}
