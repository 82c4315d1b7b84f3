package org.quetzalscale.standin.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** The only configuration of a soak: three services with a queue each, and six tenants. */
final class DeploymentConfig {
    /** The services whose workers run tasks. */
    static final List<String> SERVICES = List.of("quick", "plot", "hold");

    /** The pool of machines that no queue uses. */
    static final String SPARE_POOL = "spare";

    /** The tenants; one of them may use no more than part of the machines. */
    static final List<Tenant> TENANTS =
            List.of(
                    new Tenant("acme", "key-of-acme", 100, 0),
                    new Tenant("birch", "key-of-birch", 100, 0),
                    new Tenant("cedar", "key-of-cedar", 100, 0),
                    new Tenant("dogwood", "key-of-dogwood", 100, 0),
                    new Tenant("elm", "key-of-elm", 100, 48_000),
                    new Tenant("fir", "key-of-fir", 100, 0));

    private static final int VERSION = 7;
    private static final int MAX_ATTEMPTS = 3;
    private static final double STRETCH = 2.2;
    private static final int TARGET_MILLIS = 2_500;

    private DeploymentConfig() {}

    /** The path of a service's queue. */
    static String path(String service) {
        return "/" + service + "/";
    }

    /** The pools of the machines, in turn; every fifth machine is spare. */
    static List<String> pools() {
        return List.of(
                "quick", "plot", "hold", "quick", SPARE_POOL, "plot", "hold", "quick", "plot");
    }

    /**
     * The configuration as operators write it.
     *
     * @param hosts the hosts that clients name in their requests
     */
    static String text(List<String> hosts) {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("version", VERSION);
        ArrayNode routes = root.putArray("routes");
        for (String host : hosts) {
            SERVICES.forEach(service -> addRoute(routes.addObject(), host, service));
        }
        ArrayNode services = root.putArray("services");
        SERVICES.forEach(s -> services.addObject().put("name", s).put("admissionCheck", false));
        services.addObject().put("name", SPARE_POOL).put("admissionCheck", false);
        ArrayNode tenants = root.putArray("tenants");
        TENANTS.forEach(tenant -> addTenant(tenants.addObject(), tenant));
        return root.toString();
    }

    private static void addRoute(ObjectNode route, String host, String service) {
        route.put("name", service)
                .put("host", host)
                .put("pathPrefix", path(service))
                .put("service", service)
                .put("priority", SERVICES.indexOf(service))
                .put("maxAttempts", MAX_ATTEMPTS)
                .put("stretch", STRETCH)
                .put("targetRuntimeMs", TARGET_MILLIS);
    }

    private static void addTenant(ObjectNode node, Tenant tenant) {
        node.put("name", tenant.name()).put("weight", tenant.weight());
        node.putArray("apiKeys").add(tenant.key());
        node.putObject("cap").put("cpu", tenant.cpuCap()).put("memMb", 0).put("gpu", 0);
    }
}
