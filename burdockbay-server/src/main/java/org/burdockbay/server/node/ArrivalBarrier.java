package org.burdockbay.server.node;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorGroup;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs tasks on the control thread after all messages that had arrived at this host before.
 *
 * <p>An event loop reads from its connections before it runs tasks, but may be in the middle of
 * that. A second pass follows a complete one.
 */
final class ArrivalBarrier {

  private final EventExecutorGroup eventLoops;
  private final Consumer<Runnable> control;

  /**
   * Creates a barrier.
   *
   * @param eventLoops the loops that receive messages
   * @param control executes tasks on the control thread, in order with the messages
   */
  ArrivalBarrier(EventExecutorGroup eventLoops, Consumer<Runnable> control) {
    this.eventLoops = eventLoops;
    this.control = control;
  }

  /** Runs a task after all messages that have already arrived. */
  void run(Runnable task) {
    pass(() -> pass(task));
  }

  private void pass(Runnable next) {
    AtomicInteger remaining = new AtomicInteger();
    eventLoops.forEach(loop -> remaining.incrementAndGet());
    for (EventExecutor loop : eventLoops) {
      try {
        loop.execute(
            () -> {
              if (remaining.decrementAndGet() == 0) {
                control.accept(next);
              }
            });
      } catch (RejectedExecutionException e) {
        // The host is closing; nothing arrives any more.
        return;
      }
    }
  }
}
