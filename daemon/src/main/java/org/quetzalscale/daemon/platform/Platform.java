package org.quetzalscale.daemon.platform;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.quetzalscale.core.error.ErrorKind;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.ControlState;
import org.quetzalscale.core.fleet.InMemoryTaskRunner;
import org.quetzalscale.core.fleet.InMemoryWorkerControl;
import org.quetzalscale.core.fleet.InstanceDirectory;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.TaskRunner;
import org.quetzalscale.core.fleet.WorkerControl;
import org.quetzalscale.core.id.WorkerId;
import org.quetzalscale.core.object.InMemoryObjectStore;
import org.quetzalscale.core.object.ObjectStore;
import org.quetzalscale.core.resource.WaveAction;
import org.quetzalscale.core.table.InMemoryTable;
import org.quetzalscale.core.table.TransactionalTable;
import org.quetzalscale.core.time.TimeSource;

/** The four ports to the platform, with the registration of this instance. */
public final class Platform {
    private static final long EMBEDDED_REBOOT_MILLIS = 1_000;

    private final TransactionalTable table;
    private final ObjectStore objects;
    private final InstanceDirectory directory;
    private final TaskRunner tasks;
    private final WorkerControl workerControl;
    private final Registration registration;
    private final Runnable close;

    private Platform(
            TransactionalTable table,
            ObjectStore objects,
            InstanceDirectory directory,
            TaskRunner tasks,
            WorkerControl workerControl,
            Registration registration,
            Runnable close) {
        this.table = table;
        this.objects = objects;
        this.directory = directory;
        this.tasks = tasks;
        this.workerControl = workerControl;
        this.registration = registration;
        this.close = close;
    }

    /**
     * The platform at an address. Nothing is sent before {@link #start} or a call to a port.
     *
     * @param group event loops, owned by the caller
     * @param name name of this instance
     * @param self gives this instance as it is to appear on the list; called by {@link #start},
     *     when the ports that it listens on are known
     */
    public static Platform connect(
            InetSocketAddress address, EventLoopGroup group, String name, Supplier<Member> self) {
        PlatformClient client = new PlatformClient(address, group, name);
        HttpDirectory directory = new HttpDirectory(client);
        return new Platform(
                new HttpTable(client),
                new HttpObjectStore(client),
                directory,
                new HttpTaskRunner(client),
                Platform::refuseControl,
                new Registration(
                        group,
                        () -> directory.register(self.get()),
                        () -> directory.leave(self.get())),
                client::stop);
    }

    /** As the other method, for an instance whose ports are known. */
    public static Platform connect(InetSocketAddress address, EventLoopGroup group, Member self) {
        return connect(address, group, self.name(), () -> self);
    }

    /**
     * A platform in the memory of this process, for a single instance. Its state ends with the
     * process, and its tasks are only simulated.
     *
     * @param group event loops, owned by the caller
     * @param self this instance as it is to appear on the list
     */
    public static Platform embedded(EventLoopGroup group, Member self, TimeSource time) {
        EmbeddedDirectory directory = new EmbeddedDirectory(self);
        return new Platform(
                new InMemoryTable(),
                new InMemoryObjectStore(),
                directory,
                new InMemoryTaskRunner(time, 0),
                new InMemoryWorkerControl(time, EMBEDDED_REBOOT_MILLIS, worker -> false),
                new Registration(group, directory::register, directory::leave),
                () -> {});
    }

    /** The transactional table. */
    public TransactionalTable table() {
        return table;
    }

    /** The object store. */
    public ObjectStore objects() {
        return objects;
    }

    /** The list of machines. */
    public InstanceDirectory directory() {
        return directory;
    }

    /**
     * Reboots and replacements of workers. The adapter over HTTP has none yet: its calls fail with
     * STORE_UNAVAILABLE, so a wave waits with its workers drained.
     */
    public WorkerControl workerControl() {
        return workerControl;
    }

    private static CompletionStage<ControlState> refuseControl(
            String operation, WorkerId worker, WaveAction action) {
        return CompletableFuture.failedFuture(
                new QuetzalscaleException(
                        ErrorKind.STORE_UNAVAILABLE,
                        "the platform offers no operation to reboot worker " + worker));
    }

    /** The tasks on workers. */
    public TaskRunner tasks() {
        return tasks;
    }

    /**
     * Registers this instance, and keeps trying while the platform can't be reached.
     *
     * @return completes when the instance is registered; fails with INVALID_STATE if the platform
     *     refuses the name, and with SHUTTING_DOWN if the platform is stopped first
     */
    public CompletionStage<Void> start() {
        return registration.start();
    }

    /**
     * Reports this instance as LEAVING; the ports keep working. One attempt is made.
     *
     * @return completes when the platform knows; fails as a write does
     */
    public CompletionStage<Void> leave() {
        return registration.leave();
    }

    /**
     * Reports this instance as LEAVING if that was not done, and closes the connections.
     *
     * @return completes when the connections are closed; never fails
     */
    public CompletionStage<Void> stop() {
        return registration.stop().whenComplete((ignored, failure) -> close.run());
    }
}
