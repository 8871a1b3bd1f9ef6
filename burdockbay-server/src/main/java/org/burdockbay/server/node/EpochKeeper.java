package org.burdockbay.server.node;

import java.util.Optional;
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
 * lost write is tolerable: a missing epoch causes at most a few refusals of the next dispatcher,
 * and the layout is derived again from the upstreams.
 */
final class EpochKeeper {

  private final Optional<EpochFile> file;
  private final EventLog log;
  private final ExecutorService writer =
      Executors.newSingleThreadExecutor(Thread.ofVirtual().name("epoch-writer").factory());
  private EpochFile.Content saved = EpochFile.Content.NONE;

  EpochKeeper(Optional<EpochFile> file, EventLog log) {
    this.file = file;
    this.log = log;
  }

  /** Returns the content saved by earlier incarnations of this host. */
  EpochFile.Content load() {
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
  void save(long epoch, ShardLayout layout) {
    EpochFile.Content content =
        new EpochFile.Content(Math.max(epoch, saved.epoch()), saved.layout().larger(layout));
    if (file.isPresent() && !content.equals(saved)) {
      saved = content;
      writer.execute(() -> write(file.get(), content));
    }
  }

  private void write(EpochFile target, EpochFile.Content content) {
    try {
      target.write(content);
    } catch (StorageException e) {
      log.error(
          "epoch-unsaved",
          "epoch=" + content.epoch() + " layout=" + content.layout().shardsPerDomain(),
          e);
    }
  }
}
