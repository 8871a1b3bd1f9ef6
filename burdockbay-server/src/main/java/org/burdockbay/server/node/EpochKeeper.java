package org.burdockbay.server.node;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.storage.EpochFile;
import org.burdockbay.server.storage.StorageException;

/**
 * Keeps the highest epoch of a dispatcher and the largest layout on disk, on hosts that have one.
 *
 * <p>Nothing waits for it: an epoch that didn't reach the disk costs the next dispatcher a few
 * refusals at most, and a layout is found again from the upstreams. The disk may stall, so the
 * control thread never writes by itself.
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

  /** Returns what an earlier life of this host has saved. */
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

  /** Saves epoch and layout in the background, if one of them is larger than before. */
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
