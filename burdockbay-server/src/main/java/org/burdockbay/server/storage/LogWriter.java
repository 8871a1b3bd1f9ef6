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
 * Writes on a thread of its own, so that a slow sync delays no heartbeat; what has queued up during
 * one sync shares the next (group commit).
 */
public final class LogWriter implements AutoCloseable {

  private final LogStore store;
  private final LongConsumer onSynced;
  private final Consumer<StorageException> onFailure;
  private final BlockingQueue<RaftEffect.Persist> queue = new LinkedBlockingQueue<>();
  private final Thread thread;

  /**
   * Creates a writer; {@link #start} runs it.
   *
   * @param synced told of the last ticket of each synced batch
   * @param failed told once if writing fails; nothing is written after that
   */
  public LogWriter(LogStore store, LongConsumer synced, Consumer<StorageException> failed) {
    this.store = store;
    this.onSynced = synced;
    this.onFailure = failed;
    this.thread = Thread.ofPlatform().name("log-writer").daemon().unstarted(this::run);
  }

  /** Starts to write what is queued. */
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
    } catch (RuntimeException e) {
      // Without this thread nothing is synced, while the host would go on as a voter.
      onFailure.accept(new StorageException(Fault.FAILED, "the log writer failed: " + e, e));
    }
  }
}
