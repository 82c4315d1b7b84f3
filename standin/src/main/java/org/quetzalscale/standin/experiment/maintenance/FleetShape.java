package org.quetzalscale.standin.experiment.maintenance;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.quetzalscale.core.config.ConfigSnapshot;
import org.quetzalscale.core.config.Versioned;
import org.quetzalscale.core.id.PoolId;
import org.quetzalscale.core.id.RackId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.id.ZoneId;
import org.quetzalscale.core.resource.AssignmentSpec;
import org.quetzalscale.core.resource.DeploymentSpec;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.core.resource.PoolSpec;
import org.quetzalscale.core.resource.Spec;
import org.quetzalscale.core.resource.WorkerPhase;
import org.quetzalscale.core.resource.WorkerSpec;

/**
 * A fleet to experiment with. Its last pool is the spare pool; racks of 4 workers mix the pools.
 *
 * @param sizes workers by pool
 * @param floorShare share of a pool's workers that must stay available, rounded up
 */
record FleetShape(
        String name,
        List<Integer> sizes,
        int zones,
        double floorShare,
        int maxParallel,
        DeploymentSpec weights) {
    private static final int WORKERS_PER_RACK = 4;

    static FleetShape silokem() {
        return new FleetShape(
                "Silokem Analitika",
                List.of(8, 8, 8, 8, 8),
                4,
                0.75,
                8,
                new DeploymentSpec(2, 1, 1, 2));
    }

    static FleetShape hollis() {
        return new FleetShape(
                "Hollis & Crane",
                List.of(6, 7, 8, 9, 6),
                3,
                0.75,
                8,
                new DeploymentSpec(1, 2, 2, 1));
    }

    /** 490 workers in 304 pools; most pools have one or two and are at or near their floor. */
    static FleetShape large() {
        List<Integer> sizes = new ArrayList<>();
        for (int i = 0; i < 303; i++) {
            sizes.add(i < 175 ? 2 : 1);
        }
        sizes.add(12);
        return new FleetShape("two years ahead", sizes, 9, 0.5, 16, new DeploymentSpec(1, 1, 1, 1));
    }

    int workers() {
        return sizes.stream().mapToInt(n -> n).sum();
    }

    PoolId pool(int index) {
        return new PoolId(String.format("pool-%03d", index));
    }

    boolean isSpare(int index) {
        return index == sizes.size() - 1;
    }

    ConfigSnapshot snapshot() {
        Map<Kind, SortedMap<String, Versioned>> resources = new EnumMap<>(Kind.class);
        put(resources, "default", weights);
        int position = 0;
        int largest = sizes.stream().mapToInt(n -> n).max().orElse(0);
        for (int pool = 0; pool < sizes.size(); pool++) {
            int floor = (int) Math.ceil(sizes.get(pool) * floorShare);
            put(resources, pool(pool).value(), new PoolSpec(floor, isSpare(pool)));
        }
        for (int i = 0; i < largest; i++) {
            for (int pool = 0; pool < sizes.size(); pool++) {
                if (i < sizes.get(pool)) {
                    addWorker(resources, pool, position++);
                }
            }
        }
        return ConfigSnapshot.of(new Revision(1), resources);
    }

    private void addWorker(
            Map<Kind, SortedMap<String, Versioned>> resources, int pool, int position) {
        int rack = position / WORKERS_PER_RACK;
        String name = String.format("worker-%03d", position);
        put(
                resources,
                name,
                new WorkerSpec(
                        pool(pool),
                        "10.0." + position / 250 + "." + (1 + position % 250) + ":80",
                        new ZoneId("zone-" + rack % zones),
                        new RackId(String.format("rack-%03d", rack)),
                        8,
                        64,
                        64,
                        131_072,
                        0,
                        false));
        put(resources, name, new AssignmentSpec(pool(pool), WorkerPhase.ACTIVE, ""));
    }

    private static void put(
            Map<Kind, SortedMap<String, Versioned>> resources, String name, Spec spec) {
        resources
                .computeIfAbsent(spec.kind(), kind -> new TreeMap<>())
                .put(name, new Versioned(new Revision(1), spec));
    }
}
