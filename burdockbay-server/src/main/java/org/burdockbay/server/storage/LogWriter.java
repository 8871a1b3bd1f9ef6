package org.burdockbay.server.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.server.storage.StorageException.Fault;

/**
 * Writes to a {@link LogStore} on a separate thread, so that a slow sync delays no heartbeat.
 *
 * <p>Writes that are queued during one sync share the next one (group commit).
 */
public final class LogWriter implements AutoCloseable {

  private final LogStore store;
  private final LongConsumer onSynced;
  private final Consumer<StorageException> onFailure;
  private final BlockingQueue<RaftEffect.Persist> queue = new LinkedBlockingQueue<>();
  private final Thread thread;

  /**
   * Creates a writer; {@link #start} starts its thread.
   *
   * @param onSynced receives the last ticket of each synced batch, on the writer's thread
   * @param onFailure called once if writing fails, on the writer's thread; the writer then stops
   */
  public LogWriter(LogStore store, LongConsumer onSynced, Consumer<StorageException> onFailure) {
    this.store = store;
    this.onSynced = onSynced;
    this.onFailure = onFailure;
    this.thread = Thread.ofPlatform().name("log-writer").daemon().unstarted(this::run);
  }

  /** Starts the thread that processes queued writes. */
  public void start() {
    thread.start();
  }

  /** Queues a write. */
  public void submit(RaftEffect.Persist persist) {
    queue.add(persist);
  }

  @Override
  public void close() throws StorageException {
    thread.interrupt();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    store.close();
  }

  private void run() {
    List<RaftEffect.Persist> batch = new ArrayList<>();
    try {
      while (true) {
        batch.add(queue.take());
        queue.drainTo(batch);
        store.write(batch);
        onSynced.accept(batch.getLast().ticket());
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (StorageException e) {
      onFailure.accept(e);
    } catch (RuntimeException | Error e) {
      // Without this thread nothing is synced, yet the host would continue as a voter.
      onFailure.accept(new StorageException(Fault.FAILED, "log writer failed: " + e, e));
    }
  }
}
