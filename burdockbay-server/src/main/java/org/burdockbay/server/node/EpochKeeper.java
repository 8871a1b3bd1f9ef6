package org.burdockbay.server.node;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.storage.EpochFile;
import org.burdockbay.server.storage.StorageException;

/**
 * Keeps the highest epoch of the dispatcher role on disk, on hosts that have one.
 *
 * <p>Nothing waits for it: an epoch that didn't reach the disk costs the next dispatcher a few
 * refusals at most. The disk may stall, so the control thread never writes by itself.
 */
final class EpochKeeper {

  private final Optional<EpochFile> file;
  private final EventLog log;
  private final ExecutorService writer =
      Executors.newSingleThreadExecutor(Thread.ofVirtual().name("epoch-writer").factory());
  private long saved;

  EpochKeeper(Optional<EpochFile> file, EventLog log) {
    this.file = file;
    this.log = log;
  }

  /** Returns the epoch that an earlier life of this host has saved; 0 if none. */
  long recall() {
    if (file.isPresent()) {
      try {
        saved = file.get().read();
      } catch (StorageException e) {
        log.error("epoch-unreadable", "", e);
      }
    }
    return saved;
  }

  /** Saves an epoch in the background, if it is higher than the one before. */
  void remember(long epoch) {
    if (file.isPresent() && epoch > saved) {
      saved = epoch;
      writer.execute(() -> write(file.get(), epoch));
    }
  }

  private void write(EpochFile target, long epoch) {
    try {
      target.write(epoch);
    } catch (StorageException e) {
      log.error("epoch-unsaved", "epoch=" + epoch, e);
    }
  }
}
