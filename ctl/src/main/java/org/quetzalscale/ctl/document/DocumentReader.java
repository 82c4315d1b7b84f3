package org.quetzalscale.ctl.document;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.id.Names;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;
import org.quetzalscale.net.json.SpecJson;

/** Reads the documents of files and directories and reports all errors at once. */
public final class DocumentReader {
    private static final Set<String> FIELDS = Set.of("kind", "name", "spec");
    private static final ObjectMapper YAML =
            YAMLMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION).build();
    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION).build();

    private final List<Document> documents = new ArrayList<>();
    private final Map<String, Document> titles = new HashMap<>();
    private final List<String> errors = new ArrayList<>();

    private DocumentReader() {}

    /**
     * Reads files, and the .yaml, .yml and .json files of directories and below, in name order.
     *
     * @throws CtlException USAGE if a file can not be read or there is none; REFUSED if documents
     *     are wrong, with field, value, file and document number of each error
     */
    public static List<Document> read(List<Path> paths) {
        DocumentReader reader = new DocumentReader();
        for (Path path : paths) {
            files(path).forEach(reader::readFile);
        }
        if (!reader.errors.isEmpty()) {
            throw new CtlException(ExitCode.REFUSED, String.join("\n", reader.errors));
        }
        return List.copyOf(reader.documents);
    }

    private static List<Path> files(Path path) {
        if (Files.isRegularFile(path)) {
            return List.of(path);
        }
        if (!Files.isDirectory(path)) {
            throw new CtlException(ExitCode.USAGE, path + " is not a file or directory");
        }
        try (Stream<Path> walk = Files.walk(path)) {
            List<Path> found =
                    walk.filter(Files::isRegularFile)
                            .filter(file -> file.toString().matches(".*\\.(yaml|yml|json)"))
                            .sorted()
                            .toList();
            if (found.isEmpty()) {
                throw new CtlException(
                        ExitCode.USAGE, path + " contains no .yaml, .yml or .json file");
            }
            return found;
        } catch (IOException e) {
            throw new CtlException(ExitCode.USAGE, path + " can not be read: " + e);
        }
    }

    private void readFile(Path file) {
        ObjectMapper mapper = file.toString().endsWith(".json") ? JSON : YAML;
        int number = 0;
        try (MappingIterator<JsonNode> nodes =
                mapper.readerFor(JsonNode.class).readValues(Files.readAllBytes(file))) {
            while (nodes.hasNextValue()) {
                JsonNode node = nodes.nextValue();
                number++;
                if (!node.isNull() && !node.isMissingNode()) {
                    add(file.toString(), number, node);
                }
            }
        } catch (JsonProcessingException e) {
            String line = e.getLocation() == null ? "" : ", line " + e.getLocation().getLineNr();
            errors.add(
                    Document.place(file.toString(), number + 1)
                            + line
                            + ": "
                            + e.getOriginalMessage());
        } catch (IOException e) {
            throw new CtlException(ExitCode.USAGE, file + " can not be read: " + e);
        }
    }

    private void add(String file, int number, JsonNode node) {
        String place = Document.place(file, number);
        try {
            Document document = parse(file, number, node);
            place = document.place();
            SpecJson.read(document.kind(), document.spec());
            Document first = titles.putIfAbsent(document.title(), document);
            if (first != null) {
                errors.add(place + ": declared before in " + first.place());
                return;
            }
            documents.add(document);
        } catch (CtlException | QuetzalscaleException e) {
            errors.add(place + ": " + e.getMessage());
        }
    }

    private static Document parse(String file, int number, JsonNode node) {
        if (!node.isObject()) {
            throw refused("expected an object with the fields kind, name and spec");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!FIELDS.contains(name)) {
                throw refused(
                        name
                                + " has the value "
                                + node.get(name)
                                + ", but a document has only the fields kind, name and spec");
            }
        }
        String kindName = text(node, "kind");
        Kind kind =
                KindNames.find(kindName)
                        .orElseThrow(
                                () ->
                                        refused(
                                                "kind has the value "
                                                        + kindName
                                                        + ": expected one of "
                                                        + KindNames.all()));
        String name = Names.requireName("name", text(node, "name"));
        return new Document(file, number, kind, name, node.path("spec"));
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw refused(
                    value.isMissingNode()
                            ? field + " is required"
                            : field + " has the value " + value + ": expected text");
        }
        return value.asText();
    }

    private static CtlException refused(String message) {
        return new CtlException(ExitCode.REFUSED, message);
    }
}
