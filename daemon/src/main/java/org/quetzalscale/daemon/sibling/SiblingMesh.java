package org.quetzalscale.daemon.sibling;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.quetzalscale.core.config.ChangeRecord;
import org.quetzalscale.core.error.QuetzalscaleException;
import org.quetzalscale.core.fleet.InstanceDirectory;
import org.quetzalscale.core.fleet.Member;
import org.quetzalscale.core.fleet.MemberRole;
import org.quetzalscale.core.fleet.MemberState;
import org.quetzalscale.core.id.InstanceId;
import org.quetzalscale.core.id.Revision;
import org.quetzalscale.core.route.InstanceLoad;
import org.quetzalscale.core.time.TimeSource;
import org.quetzalscale.daemon.config.ConfigService;
import org.quetzalscale.daemon.config.SiblingLinks;
import org.quetzalscale.net.TcpListeners;
import org.tinylog.Logger;

/**
 * The connections between this instance and all other entry instances. Each instance opens one to
 * each other instance, sends requests and changes on it, and receives the responses.
 *
 * <p>The mesh has to listen for as long as the instance accepts writes or work, because the others
 * conclude from a refused connection that the process has ended.
 */
public final class SiblingMesh implements SiblingLinks {
    private static final long PING_MILLIS = 500;
    private static final long REFRESH_LIST_MILLIS = 1_000;
    private static final long LOAD_CHECK_MILLIS = 100;
    private static final long LOAD_REPEAT_MILLIS = 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final InetSocketAddress bindAddress;
    private final String ownAddress;
    private final EventLoopGroup group;
    private final ConfigService config;
    private final InstanceDirectory directory;
    private final SiblingHooks hooks;
    private final TimeSource time;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final SiblingAddresses addresses = new SiblingAddresses();
    private final Map<InstanceId, OutgoingLink> links = new ConcurrentHashMap<>();
    private final Set<InstanceId> connecting = ConcurrentHashMap.newKeySet();
    private final Set<InstanceId> contacted = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean allContacted = new AtomicBoolean();
    private volatile Set<InstanceId> listed = Set.of();
    private volatile boolean listKnown;
    private volatile boolean stopped;
    private List<ScheduledFuture<?>> tasks = List.of();
    private Channel listener;
    private InstanceLoad sentLoad = InstanceLoad.NONE;
    private long sentLoadMillis;

    /**
     * Creates a mesh without connections; the caller passes it to {@link ConfigService#connect}.
     *
     * @param ownAddress IP address and port at which others reach this instance, or empty for the
     *     address that it listens on
     * @param group event loops, owned by the caller
     */
    public SiblingMesh(
            InetSocketAddress bindAddress,
            String ownAddress,
            EventLoopGroup group,
            ConfigService config,
            InstanceDirectory directory,
            SiblingHooks hooks,
            TimeSource time) {
        this.bindAddress = bindAddress;
        this.ownAddress = ownAddress;
        this.group = group;
        this.config = config;
        this.directory = directory;
        this.hooks = hooks;
        this.time = time;
    }

    /** Starts to listen and to connect to the instances that the platform lists. */
    public void start() {
        listener =
                TcpListeners.listen(
                        group,
                        bindAddress,
                        true,
                        channel -> channel.pipeline().addLast(initializer(this::incoming)));
        tasks =
                List.of(
                        every(REFRESH_LIST_MILLIS, this::refreshList),
                        every(PING_MILLIS, this::pingAll),
                        every(LOAD_CHECK_MILLIS, this::reportLoad));
    }

    /** The port that the mesh listens on. */
    public int port() {
        return TcpListeners.port(listener);
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        stopped = true;
        tasks.forEach(task -> task.cancel(false));
        listener.close().syncUninterruptibly();
        channels.close().awaitUninterruptibly();
    }

    @Override
    public void distribute(ChangeRecord record) {
        broadcast(new SiblingFrame.ChangeFrame(record));
    }

    @Override
    public void fetch(Revision after) {
        links.values().stream()
                .filter(link -> link.isUp() && link.hasSeenMoreThan(after))
                .findAny()
                .ifPresent(link -> link.send(new SiblingFrame.SnapshotRequest(after)));
    }

    /** Tells all instances that a job was submitted. */
    public void wakeJobs() {
        broadcast(new SiblingFrame.JobWake());
    }

    private void broadcast(SiblingFrame frame) {
        links.values().stream().filter(OutgoingLink::isUp).forEach(link -> link.send(frame));
    }

    private ScheduledFuture<?> every(long millis, Runnable task) {
        Runnable guarded =
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        Logger.error(e, "periodic task of the sibling protocol failed");
                    }
                };
        return group.next().scheduleAtFixedRate(guarded, 0, millis, TimeUnit.MILLISECONDS);
    }

    private void refreshList() {
        directory
                .list(MemberRole.ENTRY)
                .whenComplete(
                        (members, failure) -> {
                            if (failure == null) {
                                applyList(members);
                                return;
                            }
                            Logger.debug(
                                    "could not read the list of instances: {}",
                                    QuetzalscaleException.from(failure).getMessage());
                        });
    }

    private void applyList(List<Member> members) {
        Set<InstanceId> present = new HashSet<>();
        for (Member member : members) {
            InstanceId id = new InstanceId(member.name());
            if (member.state() == MemberState.GONE) {
                addresses.remove(id);
                OutgoingLink link = links.remove(id);
                if (link != null) {
                    link.close();
                }
            } else if (!id.equals(config.self())) {
                present.add(id);
                addresses.list(id, member.address());
            }
        }
        listed = present;
        config.list(members);
        if (!listKnown) {
            listKnown = true;
            pingAll();
            checkAllContacted();
        }
    }

    private void contacted(InstanceId id) {
        contacted.add(id);
        checkAllContacted();
    }

    private void checkAllContacted() {
        if (listKnown && contacted.containsAll(listed) && allContacted.compareAndSet(false, true)) {
            config.introduced();
        }
    }

    private void pingAll() {
        Set<InstanceId> wanted = new HashSet<>(config.known());
        wanted.addAll(listed);
        for (InstanceId id : wanted) {
            OutgoingLink link = links.get(id);
            if (link == null) {
                connectTo(id);
            } else if (link.isUp()) {
                link.ping();
            }
        }
    }

    private void reportLoad() {
        InstanceLoad load = hooks.ownLoad().get();
        long nowMillis = time.nowMillis();
        if (load.equals(sentLoad) && nowMillis - sentLoadMillis < LOAD_REPEAT_MILLIS) {
            return;
        }
        sentLoad = load;
        sentLoadMillis = nowMillis;
        broadcast(new SiblingFrame.LoadReport(load));
    }

    private void connectTo(InstanceId id) {
        Optional<String> address = addresses.find(id);
        Optional<InetSocketAddress> target = address.flatMap(SiblingAddresses::parse);
        if (target.isEmpty() || !connecting.add(id)) {
            return;
        }
        long attemptMillis = time.nowMillis();
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer(channel -> outgoing(channel, id)))
                .connect(target.get())
                .addListener(
                        connected -> {
                            connecting.remove(id);
                            if (connected.isSuccess()) {
                                sendHello(((ChannelFuture) connected).channel(), id);
                                return;
                            }
                            if (isRefusal(connected.cause())
                                    && addresses.find(id).equals(address)) {
                                addresses.refused(id, address.get());
                                config.refused(id, attemptMillis);
                            }
                        });
    }

    /**
     * Whether the remote machine refused the connection, which shows that no process listens. A
     * timeout shows nothing.
     */
    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException
                && !(cause instanceof ConnectTimeoutException)
                && String.valueOf(cause.getMessage()).contains("refused");
    }

    private void sendHello(Channel channel, InstanceId id) {
        OutgoingLink link = links.get(id);
        if (link == null || stopped) {
            channel.close();
            return;
        }
        link.send(new SiblingFrame.Hello(introduction()));
    }

    private SiblingFrame.Introduction introduction() {
        Map<InstanceId, String> known = new HashMap<>();
        for (InstanceId id : config.known()) {
            addresses.find(id).ifPresent(address -> known.put(id, address));
        }
        String address =
                ownAddress.isEmpty() ? bindAddress.getHostString() + ":" + port() : ownAddress;
        return new SiblingFrame.Introduction(config.self(), config.incarnation(), address, known);
    }

    private void storeAddresses(SiblingFrame.Introduction introduction) {
        introduction.known().forEach(addresses::mention);
        addresses.introduce(introduction.id(), introduction.address());
    }

    private void incoming(SocketChannel channel) {
        new IncomingConnection(channel, config, hooks, this::introduction, this::storeAddresses);
    }

    private void outgoing(SocketChannel channel, InstanceId id) {
        OutgoingLink link =
                new OutgoingLink(
                        channel, id, config, time, introduction -> acknowledged(id, introduction));
        links.put(id, link);
        channel.closeFuture()
                .addListener(
                        closed -> {
                            links.remove(id, link);
                            contacted(id);
                        });
    }

    private void acknowledged(InstanceId id, SiblingFrame.Introduction introduction) {
        storeAddresses(introduction);
        contacted(id);
    }

    private ChannelInitializer<SocketChannel> initializer(
            java.util.function.Consumer<SocketChannel> setup) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channels.add(channel);
                setup.accept(channel);
            }
        };
    }
}
