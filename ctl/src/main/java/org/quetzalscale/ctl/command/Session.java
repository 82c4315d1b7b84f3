package org.quetzalscale.ctl.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.ctl.client.OperatorClient;
import org.quetzalscale.ctl.client.ResourceClient;
import org.quetzalscale.ctl.client.Timing;
import org.quetzalscale.ctl.output.ResourceView;
import org.quetzalscale.net.json.Json;

/**
 * What a running command works with.
 *
 * @param out receives results
 * @param err receives notes and errors
 */
public record Session(
        OperatorClient client,
        CommonOptions options,
        Timing timing,
        PrintStream out,
        PrintStream err) {
    /** Access to resources. */
    public ResourceClient resources() {
        return new ResourceClient(client, timing);
    }

    /** Prints a document in the format that the options ask for. */
    public void print(JsonNode document) {
        if (!options.json()) {
            out.print(ResourceView.lines(document));
            return;
        }
        try {
            out.println(
                    Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(document));
        } catch (JsonProcessingException e) {
            throw new QuetzalscaleException(ErrorKind.INTERNAL, "can not write JSON", e);
        }
    }
}
