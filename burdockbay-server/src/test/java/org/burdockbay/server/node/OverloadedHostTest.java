package org.burdockbay.server.node;

import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogException;
import org.burdockbay.core.catalog.CatalogPart;
import org.burdockbay.core.catalog.CompressedCatalog;
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
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.server.host.ControlThread;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.HostMetrics;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.server.transport.PeerTransport;
import org.burdockbay.server.transport.TransportCounters;
import org.burdockbay.server.transport.TransportSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the timing of a host that receives more work than its processor can handle. */
public class OverloadedHostTest {

  private static final String HOST = "127.0.0.1";
  private static final String OTHER = "127.0.0.2";
  private static final long IN_FORCE_TIMEOUT_MILLIS = 2_500;
  private static final int BACKLOG_SIZE = 4_000;
  private static final long FIRST_VERSION = 1;
  private static final long NEW_VERSION = 8;

  private final BusyClock clock = new BusyClock();
  private final AtomicLong inForceAt = new AtomicLong();
  private CountDownLatch blocked;
  private CountDownLatch released;
  private MetricRegistry registry;
  private NodeController node;

  /** Starts a host whose control thread is blocked until {@link #release}. */
  @BeforeMethod
  public void setUp() throws Exception {
    blocked = new CountDownLatch(1);
    released = new CountDownLatch(1);
    registry = new MetricRegistry();
    EventLog log = new EventLog("test");
    HostAddress address = new HostAddress(HOST, 0);
    NodeSettings settings =
        new NodeSettings(
            "c",
            new HostDescriptor(HOST, "entry", "a", address.toString()),
            address,
            Set.of(),
            true,
            List.of(new HostAddress(OTHER, 1)),
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
                new PeerTransport(
                    transportSettings(address), 1, new TransportCounters(registry), log, clock),
                new NoUpstreams(),
                this::read,
                Runnable::run,
                new ControlThread(clock, log, registry)));
    node.start();
    node.inFlightCount().get(1, TimeUnit.MINUTES);
    node.messageReceived(OTHER, catalog(FIRST_VERSION));
    blocked.await();
  }

  /** Stops the threads of the host. */
  @AfterMethod
  public void tearDown() {
    node.close();
  }

  /**
   * Guards against delaying a new catalog behind queued work. Dispatching hosts applied an outdated
   * configuration for seconds after its successor had been agreed.
   */
  @Test
  public void putsCatalogInForceWhileDispatchEventsPileUp() throws Exception {
    final long begun = clock.millis();
    submitBacklog();
    node.messageReceived(OTHER, heartbeat());
    node.messageReceived(OTHER, catalog(NEW_VERSION));
    long elapsed = release() - begun;
    assertTrue(elapsed > 2 * IN_FORCE_TIMEOUT_MILLIS, "the backlog is too small: " + elapsed);
    long delay = inForceAt.get() - begun;
    assertTrue(delay <= IN_FORCE_TIMEOUT_MILLIS, "in force after " + delay + " ms of " + elapsed);
  }

  /**
   * Guards against delaying heartbeats behind queued work. Other hosts considered an overloaded
   * host lost, and the dispatcher role moved from host to host.
   */
  @Test
  public void sendsHeartbeatsWhileDispatchEventsPileUp() throws Exception {
    final long begun = clock.millis();
    final long before = heartbeatCount();
    submitBacklog();
    long elapsed = release() - begun;
    long sent = heartbeatCount() - before;
    assertTrue(
        sent >= elapsed / LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS,
        sent + " heartbeats in " + elapsed + " ms");
  }

  private void submitBacklog() {
    for (int i = 0; i < BACKLOG_SIZE; i++) {
      node.messageReceived(OTHER, submission(i));
    }
  }

  /** Unblocks the control thread, and returns the time at which its queue is empty. */
  private long release() throws Exception {
    released.countDown();
    node.inFlightCount().get(1, TimeUnit.MINUTES);
    return clock.millis();
  }

  private long heartbeatCount() {
    return registry.counter("peer.dropped.heartbeat").getCount();
  }

  private Catalog read(String text) throws CatalogException {
    final boolean first = blocked.getCount() > 0;
    blocked.countDown();
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    inForceAt.set(clock.millis());
    return Catalog.of(first ? FIRST_VERSION : NEW_VERSION, List.of(), Set.of());
  }

  private static PeerMessage submission(int number) {
    WorkRequest request =
        new WorkRequest("w" + number, "q", "s", "", List.of(), 0, 1, 1, 100, 1_000);
    return new PeerMessage.SubmitWork(1, number, request, 0, 0);
  }

  private static PeerMessage catalog(long version) {
    CompressedCatalog compressed = CompressedCatalog.of(version, "");
    int size = compressed.data().size();
    return new PeerMessage.SendCatalogPart(new CatalogPart(version, size, 0, compressed.data()));
  }

  private static PeerMessage heartbeat() {
    HostStatus status =
        new HostStatus(OTHER, "entry", 1, 0, NEW_VERSION, 0, 0, false, "", new DomainLoad(0, 0));
    return new PeerMessage.Heartbeat(status, OptionalLong.empty());
  }

  private static TransportSettings transportSettings(HostAddress address) {
    return new TransportSettings(
        "c",
        HOST,
        "",
        address,
        other -> true,
        1,
        1_000,
        1_000,
        LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS);
  }

  /** A clock that advances by one millisecond on each reading by the control thread. */
  private static final class BusyClock implements Clock {

    private final AtomicLong time = new AtomicLong(1_000_000);

    @Override
    public long millis() {
      boolean control = Thread.currentThread().getName().equals("control");
      return control ? time.incrementAndGet() : time.get();
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
