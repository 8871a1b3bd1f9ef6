package org.burdockbay.server.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.burdockbay.server.logging.EventLog;
import org.testng.annotations.Test;

/** Tests the order in which {@link ControlThread} runs queued tasks. */
public class ControlThreadTest {

  private static final long DELAY_MILLIS = 2_000;

  /**
   * Guards against a delayed host considering other hosts lost. The tick that detects silence ran
   * before the heartbeats that had been queued during the delay.
   */
  @Test
  public void runsQueuedControlTasksBeforeTicksAndWorkAfterThem() throws Exception {
    final List<String> order = new CopyOnWriteArrayList<>();
    final AtomicLong now = new AtomicLong();
    final CountDownLatch ticked = new CountDownLatch(1);
    final CountDownLatch blocked = new CountDownLatch(1);
    final CountDownLatch released = new CountDownLatch(1);
    final CountDownLatch done = new CountDownLatch(1);
    ControlThread thread = new ControlThread(now::get, new EventLog("test"), new MetricRegistry());
    thread.start(
        () -> {
          order.add("tick");
          ticked.countDown();
        },
        () -> {});
    ticked.await();
    thread.execute(
        () -> {
          blocked.countDown();
          await(released);
          order.clear();
        });
    blocked.await();
    thread.executeWork(() -> order.add("work"));
    thread.executeWork(done::countDown);
    thread.execute(() -> order.add("heartbeat"));
    now.addAndGet(DELAY_MILLIS);
    released.countDown();
    done.await();
    thread.close();
    assertEquals(order, List.of("heartbeat", "tick", "work"));
  }

  /** Guards against handling a deferred heartbeat after later messages of the same host. */
  @Test
  public void runsDeferredTasksBeforeTheNextTaskAndAtTicks() throws Exception {
    final List<String> order = new CopyOnWriteArrayList<>();
    final AtomicLong now = new AtomicLong();
    final CountDownLatch blocked = new CountDownLatch(1);
    final CountDownLatch released = new CountDownLatch(1);
    final CountDownLatch ticked = new CountDownLatch(1);
    ControlThread thread = new ControlThread(now::get, new EventLog("test"), new MetricRegistry());
    thread.start(() -> {}, () -> {});
    thread.execute(
        () -> {
          blocked.countDown();
          await(released);
        });
    blocked.await();
    thread.executeDeferred(() -> order.add("deferred"));
    thread.executeWork(() -> order.add("work"));
    final CountDownLatch done = new CountDownLatch(1);
    thread.executeWork(done::countDown);
    released.countDown();
    done.await();
    thread.executeDeferred(ticked::countDown);
    now.addAndGet(DELAY_MILLIS);
    ticked.await();
    thread.close();
    assertEquals(order, List.of("deferred", "work"));
  }

  /** Guards against tasks that run on state which an error left inconsistent. */
  @Test
  public void runsNothingAfterAnError() throws Exception {
    final List<String> order = new CopyOnWriteArrayList<>();
    final CountDownLatch ended = new CountDownLatch(1);
    ControlThread thread = new ControlThread(() -> 0, new EventLog("test"), new MetricRegistry());
    Thread.UncaughtExceptionHandler previous = Thread.getDefaultUncaughtExceptionHandler();
    Thread.setDefaultUncaughtExceptionHandler((failed, cause) -> ended.countDown());
    try {
      thread.start(() -> {}, () -> {});
      assertTrue(thread.isResponsive());
      thread.execute(
          () -> {
            throw new OutOfMemoryError("test");
          });
      thread.execute(() -> order.add("task"));
      ended.await();
      thread.close();
    } finally {
      Thread.setDefaultUncaughtExceptionHandler(previous);
    }
    assertFalse(thread.isResponsive());
    assertEquals(order, List.of());
  }

  /** Guards against a host that counts as ready although its control thread is stuck. */
  @Test
  public void isNotResponsiveWhileStuck() throws Exception {
    final AtomicLong now = new AtomicLong();
    final CountDownLatch blocked = new CountDownLatch(1);
    final CountDownLatch released = new CountDownLatch(1);
    final CountDownLatch done = new CountDownLatch(1);
    ControlThread thread = new ControlThread(now::get, new EventLog("test"), new MetricRegistry());
    thread.start(() -> {}, () -> {});
    thread.execute(
        () -> {
          blocked.countDown();
          await(released);
        });
    blocked.await();
    assertTrue(thread.isResponsive());
    now.addAndGet(DELAY_MILLIS);
    assertFalse(thread.isResponsive());
    assertTrue(thread.acceptsTasks());
    now.addAndGet(DELAY_MILLIS);
    assertFalse(thread.acceptsTasks());
    released.countDown();
    thread.execute(done::countDown);
    done.await();
    assertTrue(thread.isResponsive());
    thread.close();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
