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

/** What a host still does in time while more work reaches it than its processor carries. */
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

  /** Starts a host whose control thread is held until {@link #release}. */
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
            true,
            List.of(new HostAddress(OTHER, 1)),
            Optional.empty(),
            false);
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

  /** Ends its threads. */
  @AfterMethod
  public void tearDown() {
    node.close();
  }

  /** Hosts that dispatched obeyed a configuration for seconds after its successor was agreed. */
  @Test
  public void putsCatalogInForceWhileDispatchEventsPileUp() throws Exception {
    final long begun = clock.millis();
    submitBacklog();
    node.messageReceived(OTHER, heartbeat());
    node.messageReceived(OTHER, catalog(NEW_VERSION));
    long passed = release() - begun;
    assertTrue(passed > 2 * IN_FORCE_TIMEOUT_MILLIS, "the backlog is too small: " + passed);
    long late = inForceAt.get() - begun;
    assertTrue(late <= IN_FORCE_TIMEOUT_MILLIS, "in force after " + late + " ms of " + passed);
  }

  /** The others called an overloaded host lost, and its role went round. */
  @Test
  public void sendsHeartbeatsWhileDispatchEventsPileUp() throws Exception {
    final long begun = clock.millis();
    final long before = heartbeatCount();
    submitBacklog();
    long passed = release() - begun;
    long sent = heartbeatCount() - before;
    assertTrue(
        sent >= passed / LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS,
        sent + " heartbeats in " + passed + " ms");
  }

  private void submitBacklog() {
    for (int i = 0; i < BACKLOG_SIZE; i++) {
      node.messageReceived(OTHER, submission(i));
    }
  }

  /** Lets the control thread go on, and returns the time at which nothing waits any more. */
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
    CompressedCatalog packed = CompressedCatalog.of(version, "");
    int size = packed.data().size();
    return new PeerMessage.SendCatalogPart(new CatalogPart(version, size, 0, packed.data()));
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

  /** A clock by which the control thread needs a millisecond from one reading to the next. */
  private static final class BusyClock implements Clock {

    private final AtomicLong time = new AtomicLong(1_000_000);

    @Override
    public long millis() {
      boolean control = Thread.currentThread().getName().equals("control");
      return control ? time.incrementAndGet() : time.get();
    }
  }

  /** Upstreams that are never called, as none is known. */
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
      // Nothing is open.
    }
  }
}
