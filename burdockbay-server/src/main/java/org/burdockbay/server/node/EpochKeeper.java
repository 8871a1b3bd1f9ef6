package org.burdockbay.server.node;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.storage.EpochFile;
import org.burdockbay.server.storage.StorageException;

/**
 * Persists the highest dispatcher epoch and the largest layout on hosts that have a disk.
 *
 * <p>Writes are asynchronous, because the disk may block and must not hold up the control thread. A
 * write that the disk refuses is tried again. A lost write is tolerable: a missing epoch causes at
 * most a few refusals of the next dispatcher, and the layout is derived again from the upstreams.
 *
 * <p>Not thread-safe; must be used on the control thread only.
 */
final class EpochKeeper {

  /** Time between two attempts to write, in milliseconds. */
  static final long RETRY_INTERVAL_MILLIS = 500;

  private final Optional<EpochFile> file;
  private final Executor control;
  private final EventLog log;
  private final ExecutorService writer =
      Executors.newSingleThreadExecutor(Thread.ofVirtual().name("epoch-writer").factory());
  private EpochFile.Content saved = EpochFile.Content.NONE;
  private boolean loaded;
  private boolean writing;
  private boolean failing;
  private long nextWriteAt = Long.MIN_VALUE;

  /**
   * Creates a keeper.
   *
   * @param file the file to write; empty on hosts without a disk
   * @param control executes tasks on the control thread
   */
  EpochKeeper(Optional<EpochFile> file, Executor control, EventLog log) {
    this.file = file;
    this.control = control;
    this.log = log;
  }

  /**
   * Returns the content saved by earlier incarnations of this host. The data folder must be open;
   * nothing is written before.
   */
  EpochFile.Content load() {
    loaded = true;
    if (file.isPresent()) {
      try {
        saved = file.get().read();
      } catch (StorageException e) {
        log.error("epoch-unreadable", "", e);
      }
    }
    return saved;
  }

  /** Saves epoch and layout in the background, if either is larger than the saved one. */
  void save(long epoch, ShardLayout layout, long now) {
    EpochFile.Content content =
        new EpochFile.Content(Math.max(epoch, saved.epoch()), saved.layout().larger(layout));
    if (loaded && file.isPresent() && !writing && now >= nextWriteAt && !content.equals(saved)) {
      writing = true;
      nextWriteAt = now + RETRY_INTERVAL_MILLIS;
      writer.execute(() -> write(file.get(), content));
    }
  }

  private void write(EpochFile target, EpochFile.Content content) {
    try {
      target.write(content);
      control.execute(() -> written(content));
    } catch (StorageException e) {
      control.execute(() -> writeFailed(content, e));
    } catch (RuntimeException | OutOfMemoryError e) {
      // Without a report of the outcome, nothing would be written any more.
      control.execute(() -> writeFailed(content, e));
    }
  }

  private void written(EpochFile.Content content) {
    writing = false;
    failing = false;
    nextWriteAt = Long.MIN_VALUE;
    saved = content;
  }

  private void writeFailed(EpochFile.Content content, Throwable cause) {
    writing = false;
    if (!failing) {
      failing = true;
      log.error(
          "epoch-unsaved",
          "epoch=" + content.epoch() + " layout=" + content.layout().shardsPerDomain(),
          cause);
    }
  }
}
