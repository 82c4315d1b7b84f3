package org.quetzalscale.standin.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command of a checkout's deploy file that starts a node. */
final class NodeCommand {
    private static final String DEPLOY_FILE = "deploy/system.toml";
    private static final String RUN_PREFIX = "run = \"";
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";

    private NodeCommand() {}

    /**
     * Reads the words of the command. An option that names an absent class archive is left out.
     *
     * @throws IOException if the checkout has no such command, or its archive is not built
     */
    static List<String> read(Path checkout) throws IOException {
        for (String line : Files.readAllLines(checkout.resolve(DEPLOY_FILE))) {
            if (line.startsWith(RUN_PREFIX)) {
                String command = line.substring(RUN_PREFIX.length(), line.lastIndexOf('"'));
                return usable(command.split(" +"), checkout);
            }
        }
        throw new IOException(checkout.resolve(DEPLOY_FILE) + " has no command");
    }

    private static List<String> usable(String[] words, Path checkout) throws IOException {
        List<String> usable = new ArrayList<>();
        for (String word : words) {
            boolean absent =
                    word.startsWith(ARCHIVE_OPTION)
                            && !Files.exists(
                                    checkout.resolve(word.substring(ARCHIVE_OPTION.length())));
            if (word.endsWith(".jar") && !Files.exists(checkout.resolve(word))) {
                throw new IOException(checkout.resolve(word) + " has not been built");
            }
            if (!absent) {
                usable.add(word);
            }
        }
        return usable;
    }
}
