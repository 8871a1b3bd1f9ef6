package org.burdockbay.server.node;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogPart;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.lease.LeaseEffect;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.lease.LeaseTiming;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardAssignment;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
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

/** Tests the readiness of a host whose control thread has ended or is stuck. */
public class NodeReadinessTest {

  private static final String HOST = "127.0.0.1";
  private static final String OTHER = "127.0.0.2";
  private static final long POLL_INTERVAL_MILLIS = 10;
  private static final WorkRequest WORK =
      new WorkRequest(
          "w",
          "q",
          "s",
          "",
          List.of(WorkStep.of(1, new TaskSize(1, 1, 0), 100)),
          0,
          1,
          1,
          100,
          1_000);

  private final AtomicLong clockAheadMillis = new AtomicLong();
  private ControlThread control;
  private NodeController node;

  /** Starts a host and waits until it is ready. */
  @BeforeMethod
  public void setUp() throws Exception {
    clockAheadMillis.set(0);
    Clock monotonic = Clock.monotonic();
    Clock clock = () -> monotonic.millis() + clockAheadMillis.get();
    MetricRegistry registry = new MetricRegistry();
    EventLog log = new EventLog("test");
    HostAddress address = new HostAddress(HOST, 0);
    control = new ControlThread(clock, log, registry);
    node =
        new NodeController(
            new NodeParts(
                settings(address),
                1,
                clock,
                log,
                new HostMetrics(registry),
                new PeerTransport(
                    transportSettings(address), 1, new TransportCounters(registry), log, clock),
                new NoUpstreams(),
                text -> Catalog.of(1, List.of(), Set.of()),
                Runnable::run,
                control));
    node.start();
    node.messageReceived(OTHER, catalog());
    await(node::isReady);
  }

  /** Stops the threads of the host. */
  @AfterMethod
  public void tearDown() {
    node.close();
  }

  /** Guards against a host that says that it is ready, but whose control thread is stuck. */
  @Test
  public void isNotReadyWhileControlThreadIsStuck() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    control.execute(
        () -> {
          blocked.countDown();
          awaitUninterruptibly(released);
        });
    blocked.await();
    clockAheadMillis.addAndGet(2_000);
    assertFalse(node.isReady());
    clockAheadMillis.addAndGet(2_000);
    assertTrue(node.submit(WORK, outcome -> {}).isEmpty(), "work is accepted");
    released.countDown();
    await(node::isReady);
  }

  /** Guards against a host that says that it is ready, but whose control thread has ended. */
  @Test
  public void isNotReadyOnceControlThreadHasEnded() throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    Thread.UncaughtExceptionHandler previous = Thread.getDefaultUncaughtExceptionHandler();
    Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> ended.countDown());
    try {
      control.execute(
          () -> {
            throw new OutOfMemoryError("test");
          });
      ended.await();
      await(() -> !node.isReady());
    } finally {
      Thread.setDefaultUncaughtExceptionHandler(previous);
    }
    assertTrue(node.submit(WORK, outcome -> {}).isEmpty(), "work is accepted");
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static NodeSettings settings(HostAddress address) {
    return new NodeSettings(
        "c",
        new HostDescriptor(HOST, "entry", "a", address.toString()),
        address,
        Set.of(),
        true,
        List.of(),
        Optional.empty(),
        false,
        SchedulingOptions.NONE,
        ShardAssignment.UNKNOWN_WEIGHT,
        LeaseTiming.DEFAULT.callerRetryDelayMillis());
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

  private static PeerMessage catalog() {
    CompressedCatalog compressed = CompressedCatalog.of(1, "");
    int size = compressed.data().size();
    return new PeerMessage.SendCatalogPart(new CatalogPart(1, size, 0, compressed.data()));
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
