package org.quetzalscale.ctl.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalscale.core.resource.Kind;
import org.quetzalscale.ctl.CtlException;
import org.quetzalscale.ctl.ExitCode;
import org.quetzalscale.ctl.apply.Action;
import org.quetzalscale.ctl.apply.ApplyPlan;
import org.quetzalscale.ctl.apply.PlannedChange;
import org.quetzalscale.ctl.client.Resource;
import org.quetzalscale.ctl.client.ResourceClient;
import org.quetzalscale.ctl.client.Written;
import org.quetzalscale.ctl.document.Document;
import org.quetzalscale.ctl.document.DocumentReader;
import org.quetzalscale.ctl.document.KindNames;

/** Makes resources as declared in files. */
@Command(name = "apply", description = "Make resources as declared in files")
public final class ApplyCommand implements CtlCommand {
    @AirlineModule private CommonOptions options = new CommonOptions();

    @Option(
            name = {"-f", "--file"},
            title = "path",
            description = "YAML or JSON file, or directory of files; may be repeated")
    private List<String> paths = new ArrayList<>();

    @Option(name = "--dry-run", description = "Show what would be done and send nothing")
    private boolean dryRun;

    @Option(name = "--diff", description = "Show the fields that change")
    private boolean diff;

    @Option(
            name = "--prune",
            description =
                    "Delete resources that are not declared, of the kinds that the files name")
    private boolean prune;

    @Option(
            name = "--prune-kinds",
            title = "kinds",
            description = "Delete resources that are not declared, of these kinds, with commas")
    private String pruneKinds = "";

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public void run(Session session) {
        if (paths.isEmpty()) {
            throw new CtlException(ExitCode.USAGE, "apply requires -f <file or directory>");
        }
        List<Document> documents = DocumentReader.read(paths.stream().map(Path::of).toList());
        Set<Kind> declared = EnumSet.noneOf(Kind.class);
        documents.forEach(document -> declared.add(document.kind()));
        Set<Kind> pruned = prunedKinds(declared);
        Set<Kind> listed = EnumSet.copyOf(ApplyPlan.ORDER);
        listed.removeIf(kind -> !declared.contains(kind) && !pruned.contains(kind));
        ResourceClient resources = session.resources();
        Map<Kind, Map<String, Resource>> present = new EnumMap<>(Kind.class);
        listed.forEach(kind -> present.put(kind, resources.list(kind).byName()));
        List<PlannedChange> plan = ApplyPlan.of(documents, present, pruned);
        ChangeReport report = new ChangeReport(session);
        if (dryRun) {
            plan.forEach(
                    change -> report.note(change.action(), change.resource(), 0, diffOf(change)));
            report.printDryRun();
            return;
        }
        apply(plan, resources, report);
        report.finish();
    }

    private Set<Kind> prunedKinds(Set<Kind> declared) {
        Set<Kind> kinds = EnumSet.noneOf(Kind.class);
        if (prune && pruneKinds.isEmpty()) {
            kinds.addAll(declared);
        }
        if (!pruneKinds.isEmpty()) {
            for (String name : pruneKinds.split(",", -1)) {
                kinds.add(KindNames.require(name.strip()));
            }
        }
        return kinds;
    }

    private void apply(List<PlannedChange> plan, ResourceClient resources, ChangeReport report) {
        for (PlannedChange change : plan) {
            Resource resource = change.resource();
            try {
                switch (change.action()) {
                    case CREATED -> add(report, change, resources.create(resource));
                    case CHANGED -> add(report, change, resources.replace(resource));
                    case DELETED -> add(report, change, resources.delete(resource));
                    default -> report.addUnchanged(resource);
                }
            } catch (CtlException e) {
                report.printPartial();
                String place = change.place().isEmpty() ? resource.title() : change.place();
                throw e.within(place);
            }
        }
    }

    private void add(ChangeReport report, PlannedChange change, Written written) {
        report.add(change.action(), change.resource(), written, diffOf(change));
    }

    private String diffOf(PlannedChange change) {
        return diff && change.action() != Action.UNCHANGED ? change.diff() : "";
    }
}
