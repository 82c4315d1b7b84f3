package org.quetzalscale.core.config;

/**
 * One fault or operation in a simulation.
 *
 * @param first index of the affected instance
 * @param second index of the other instance, if there is one
 * @param pauseMillis time until the next fault
 */
record Fault(Type type, int first, int second, int pauseMillis) {
    enum Type {
        WRITE,
        WRITE_THEN_DIE,
        TABLE_DOWN,
        TABLE_UP,
        TABLE_CUT,
        TABLE_BACK,
        LOSE_ANSWERS,
        CUT_ONE_WAY,
        CUT_BOTH_WAYS,
        ISOLATE,
        HEAL,
        KILL,
        RESTART,
        RESTART_FROM_ARCHIVE,
        FREEZE,
        LIST_DOWN,
        LIST_UP
    }

    private static final int FREEZE_MILLIS = 4_000;

    void applyTo(ConfigSimulation simulation) {
        ConfigSimulation.Node node = simulation.nodes.get(first % simulation.nodes.size());
        ConfigSimulation.Node other = simulation.nodes.get(second % simulation.nodes.size());
        switch (type) {
            case WRITE -> node.write();
            case WRITE_THEN_DIE -> {
                node.killAfterAnswer = true;
                node.write();
            }
            case TABLE_DOWN -> simulation.tableDown = true;
            case TABLE_UP -> simulation.tableDown = false;
            case TABLE_CUT -> node.tableCut = true;
            case TABLE_BACK -> node.tableCut = false;
            case LOSE_ANSWERS -> node.answersLost = !node.answersLost;
            case CUT_ONE_WAY -> node.cutTo.add(other);
            case CUT_BOTH_WAYS -> {
                node.cutTo.add(other);
                other.cutTo.add(node);
            }
            case ISOLATE ->
                    simulation.nodes.forEach(
                            each -> {
                                node.cutTo.add(each);
                                each.cutTo.add(node);
                            });
            case HEAL -> simulation.nodes.forEach(each -> each.cutTo.clear());
            case KILL -> node.kill();
            case RESTART -> node.restart(false);
            case RESTART_FROM_ARCHIVE -> node.restart(true);
            case FREEZE -> simulation.freeze(node, FREEZE_MILLIS);
            case LIST_DOWN -> simulation.listDown = true;
            case LIST_UP -> simulation.listDown = false;
            default -> throw new IllegalStateException("no such type: " + type);
        }
    }
}
