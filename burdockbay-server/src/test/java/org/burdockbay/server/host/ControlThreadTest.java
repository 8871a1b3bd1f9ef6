package org.burdockbay.server.host;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.burdockbay.server.logging.EventLog;
import org.testng.annotations.Test;

/** In which order a {@link ControlThread} runs what waits. */
public class ControlThreadTest {

  private static final long LATE_MILLIS = 2_000;

  /** A host that was late called others lost whose heartbeats it hadn't handled yet. */
  @Test
  public void runsQueuedControlTasksBeforeTicksAndWorkAfterThem() throws Exception {
    final List<String> order = new CopyOnWriteArrayList<>();
    final AtomicLong now = new AtomicLong();
    final CountDownLatch ticked = new CountDownLatch(1);
    final CountDownLatch held = new CountDownLatch(1);
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
          held.countDown();
          await(released);
          order.clear();
        });
    held.await();
    thread.executeWork(() -> order.add("work"));
    thread.executeWork(done::countDown);
    thread.execute(() -> order.add("heartbeat"));
    now.addAndGet(LATE_MILLIS);
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
    final CountDownLatch held = new CountDownLatch(1);
    final CountDownLatch released = new CountDownLatch(1);
    final CountDownLatch ticked = new CountDownLatch(1);
    ControlThread thread = new ControlThread(now::get, new EventLog("test"), new MetricRegistry());
    thread.start(() -> {}, () -> {});
    thread.execute(
        () -> {
          held.countDown();
          await(released);
        });
    held.await();
    thread.executeDeferred(() -> order.add("deferred"));
    thread.executeWork(() -> order.add("work"));
    final CountDownLatch done = new CountDownLatch(1);
    thread.executeWork(done::countDown);
    released.countDown();
    done.await();
    thread.executeDeferred(ticked::countDown);
    now.addAndGet(LATE_MILLIS);
    ticked.await();
    thread.close();
    assertEquals(order, List.of("deferred", "work"));
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
