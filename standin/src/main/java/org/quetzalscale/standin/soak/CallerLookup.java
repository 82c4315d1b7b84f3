package org.quetzalscale.standin.soak;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Supplier;

/**
 * Finds the process at the other end of a loopback connection, by the tables in /proc. One read of
 * the tables serves all connections that wait.
 */
final class CallerLookup implements WireServer.Callers {
    /** Name of a caller whose process is not known or has ended. */
    static final String UNKNOWN = "?";

    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final int LOCAL_COLUMN = 1;
    private static final int REMOTE_COLUMN = 2;
    private static final int INODE_COLUMN = 9;
    private static final int HEX = 16;

    /** The two ports of a connection, of the caller and of the called. */
    private record Ports(int from, int to) {}

    private record Question(Ports ports, CompletableFuture<String> answer) {}

    private final Supplier<Map<String, Long>> pids;
    private final BlockingQueue<Question> questions = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::answerQuestions, "callers");

    /**
     * Creates a lookup.
     *
     * @param pids the process ids of the nodes that run, by the nodes' names
     */
    CallerLookup(Supplier<Map<String, Long>> pids) {
        this.pids = pids;
    }

    void start() {
        thread.setDaemon(true);
        thread.start();
    }

    void stop() {
        thread.interrupt();
    }

    @Override
    public CompletionStage<String> callerOf(int remotePort, int localPort) {
        Question question =
                new Question(new Ports(remotePort, localPort), new CompletableFuture<>());
        questions.add(question);
        return question.answer();
    }

    private void answerQuestions() {
        List<Question> asked = new ArrayList<>();
        try {
            while (true) {
                asked.add(questions.take());
                questions.drainTo(asked);
                answer(asked);
                asked.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(List<Question> asked) {
        Map<Ports, String> inodes = inodes();
        Map<String, String> owners = owners();
        for (Question question : asked) {
            String inode = inodes.getOrDefault(question.ports(), "");
            question.answer().complete(owners.getOrDefault(inode, UNKNOWN));
        }
    }

    /** The inodes of all connections, by their ports. */
    private static Map<Ports, String> inodes() {
        Map<Ports, String> inodes = new HashMap<>();
        for (Path table : TABLES) {
            try {
                Files.readAllLines(table).forEach(line -> addInode(line, inodes));
            } catch (IOException e) {
                // Without the table, its callers are not known.
                continue;
            }
        }
        return inodes;
    }

    private static void addInode(String line, Map<Ports, String> inodes) {
        String[] columns = line.trim().split(" +");
        if (columns.length > INODE_COLUMN && columns[LOCAL_COLUMN].indexOf(':') > 0) {
            Ports ports = new Ports(port(columns[LOCAL_COLUMN]), port(columns[REMOTE_COLUMN]));
            inodes.put(ports, columns[INODE_COLUMN]);
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1), HEX);
    }

    /** The nodes by the inodes of their sockets. */
    private Map<String, String> owners() {
        Map<String, String> owners = new HashMap<>();
        pids.get().forEach((name, pid) -> addSockets(name, pid, owners));
        return owners;
    }

    private static void addSockets(String name, long pid, Map<String, String> owners) {
        Path folder = Path.of("/proc", Long.toString(pid), "fd");
        try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(folder)) {
            for (Path descriptor : descriptors) {
                addSocket(name, descriptor, owners);
            }
        } catch (IOException e) {
            // The process has ended meanwhile; its calls have an unknown caller.
            return;
        }
    }

    /** A descriptor may have been closed since the folder was listed. */
    private static void addSocket(String name, Path descriptor, Map<String, String> owners) {
        try {
            String target = Files.readSymbolicLink(descriptor).toString();
            if (target.startsWith("socket:[")) {
                owners.put(target.substring("socket:[".length(), target.length() - 1), name);
            }
        } catch (IOException e) {
            return;
        }
    }
}
