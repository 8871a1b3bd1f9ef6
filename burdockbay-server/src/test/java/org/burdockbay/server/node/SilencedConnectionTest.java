package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.lease.LeaseEffect;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.lease.LeaseTiming;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardAssignment;
import org.burdockbay.server.host.ControlThread;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.HostMetrics;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.server.transport.PeerListener;
import org.burdockbay.server.transport.PeerTransport;
import org.burdockbay.server.transport.TransportCounters;
import org.burdockbay.server.transport.TransportSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a host whose open connections stop delivering in both directions. */
public class SilencedConnectionTest {

  private static final String HOST = "127.0.0.1";
  private static final String OTHER = "127.0.0.2";
  private static final String OTHER_BEHIND_RELAY = "127.0.0.3";
  private static final long NEVER_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final long TIMEOUT_SECONDS = 30;
  private static final int MIN_PROBES = 4;
  private static final int MAX_HEARTBEATS = 10;

  private final Clock clock = Clock.monotonic();
  private final EventLog log = new EventLog("test");
  private final Semaphore opened = new Semaphore(0);
  private Relay relay;
  private PeerTransport other;
  private NodeController node;

  /** Connects a host to another one that sends no heartbeats, over a relay. */
  @BeforeMethod
  public void setUp() throws Exception {
    opened.drainPermits();
    HostAddress behindRelay = new HostAddress(OTHER_BEHIND_RELAY, freePort(OTHER_BEHIND_RELAY));
    relay = new Relay(behindRelay);
    other = transport(OTHER, behindRelay, new MetricRegistry());
    other.start(new OpenedConnections());
    HostAddress address = new HostAddress(HOST, 0);
    MetricRegistry registry = new MetricRegistry();
    NodeSettings settings =
        new NodeSettings(
            "c",
            new HostDescriptor(HOST, "entry", "a", address.toString()),
            address,
            Set.of(),
            true,
            List.of(relay.address()),
            Optional.empty(),
            false,
            SchedulingOptions.NONE,
            ShardAssignment.UNKNOWN_WEIGHT,
            LeaseTiming.DEFAULT.callerRetryDelayMillis());
    node =
        new NodeController(
            new NodeParts(
                settings,
                1,
                clock,
                log,
                new HostMetrics(registry),
                transport(HOST, address, registry),
                new NoUpstreams(),
                text -> Catalog.of(1, List.of(), Set.of()),
                Runnable::run,
                new ControlThread(clock, log, registry)));
    node.start();
    awaitConnection();
    awaitProbes();
  }

  /** Stops both hosts and the relay. */
  @AfterMethod
  public void tearDown() throws Exception {
    node.close();
    other.close();
    relay.close();
  }

  /** Guards against hosts that stay apart for seconds after their connections went silent. */
  @Test
  public void replacesConnectionThatStopsDelivering() throws Exception {
    relay.silenceOpenConnections();
    awaitConnection();
  }

  /** Guards against closing a sound connection because the other host is slow. */
  @Test
  public void keepsConnectionToSilentHostThatAnswers() throws Exception {
    for (int i = 0; i < 20; i++) {
      assertTrue(relay.answers.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
    assertEquals(opened.availablePermits(), 0);
  }

  /** Sends a heartbeat of the other host, again if that one wasn't known yet, and awaits probes. */
  private void awaitProbes() throws InterruptedException {
    relay.answers.drainPermits();
    for (int i = 0; i < MAX_HEARTBEATS; i++) {
      node.messageReceived(OTHER, heartbeat());
      if (relay.answers.tryAcquire(MIN_PROBES, 2, TimeUnit.SECONDS)) {
        return;
      }
    }
    fail("the silent host isn't probed");
  }

  private void awaitConnection() throws InterruptedException {
    assertTrue(opened.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no new connection");
  }

  private PeerTransport transport(String host, HostAddress address, MetricRegistry registry) {
    TransportSettings settings =
        new TransportSettings(
            "c", host, "", address, any -> true, 1, NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS);
    return new PeerTransport(settings, 1, new TransportCounters(registry), log, clock);
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, 0));
      return socket.getLocalPort();
    }
  }

  private static PeerMessage heartbeat() {
    HostStatus status =
        new HostStatus(OTHER, "entry", 1, 0, 1, 0, 0, false, "", new DomainLoad(0, 0));
    return new PeerMessage.Heartbeat(status, OptionalLong.empty());
  }

  /** Counts the connections that the host opens. */
  private final class OpenedConnections implements PeerListener {

    @Override
    public void messageReceived(String host, PeerMessage message) {
      // The content doesn't matter.
    }

    @Override
    public void connectionOpened(String host) {
      opened.release();
    }
  }

  /** Relays connections to the other host; those that are silenced stay open. */
  private static final class Relay implements AutoCloseable {

    /** One permit for each piece of data from the other host. */
    final Semaphore answers = new Semaphore(0);

    private final ServerSocket listener = new ServerSocket();
    private final HostAddress target;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile int silencedConnections;

    Relay(HostAddress target) throws IOException {
      this.target = target;
      listener.bind(new InetSocketAddress(OTHER, 0));
      Thread.ofVirtual().start(this::accept);
    }

    HostAddress address() {
      return new HostAddress(OTHER, listener.getLocalPort());
    }

    void silenceOpenConnections() {
      silencedConnections = connections.get();
    }

    private void accept() {
      try {
        while (true) {
          Socket near = listener.accept();
          Socket far = new Socket(target.ip(), target.port());
          int number = connections.incrementAndGet();
          Thread.ofVirtual().start(() -> copy(near, far, number, false));
          Thread.ofVirtual().start(() -> copy(far, near, number, true));
        }
      } catch (IOException e) {
        // The relay is closed.
      }
    }

    private void copy(Socket from, Socket to, int number, boolean isAnswer) {
      byte[] buffer = new byte[8_192];
      try (from;
          to) {
        for (int size = from.getInputStream().read(buffer);
            size >= 0;
            size = from.getInputStream().read(buffer)) {
          if (number > silencedConnections) {
            to.getOutputStream().write(buffer, 0, size);
            answers.release(isAnswer ? 1 : 0);
          }
        }
      } catch (IOException e) {
        // One of the ends has closed the connection.
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  /** Fails on every call, since no upstream is registered. */
  private static final class NoUpstreams implements UpstreamCalls {

    @Override
    public void start(LeaseEffect.Start start, Consumer<LeaseEvent> answer) {
      throw new IllegalStateException("no upstream is known");
    }

    @Override
    public void stop(LeaseEffect.Stop stop, Consumer<LeaseEvent> answer) {
      throw new IllegalStateException("no upstream is known");
    }

    @Override
    public void renew(LeaseEffect.Renew renew, Consumer<LeaseEvent> answer) {
      throw new IllegalStateException("no upstream is known");
    }

    @Override
    public void close() {
      // There is nothing to close.
    }
  }
}
