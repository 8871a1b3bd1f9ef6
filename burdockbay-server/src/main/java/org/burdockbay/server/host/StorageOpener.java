package org.burdockbay.server.host;

import java.util.Optional;
import java.util.function.Consumer;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.storage.StorageException;
import org.burdockbay.server.storage.StorageException.Fault;
import org.jspecify.annotations.Nullable;

/** Opens the data folder of a host, repeatedly if its disk refuses it. */
final class StorageOpener implements AutoCloseable {

  /** Time between two attempts, in milliseconds. */
  private static final long RETRY_INTERVAL_MILLIS = 500;

  /** Number of attempts after which a lasting failure is reported again. */
  private static final int REPORT_INTERVAL_ATTEMPTS = 120;

  private final AgreementMember.Opening opening;
  private final Consumer<AgreementStorage.Event> events;
  private final Consumer<AgreementStorage> onOpened;
  private final EventLog log;
  private @Nullable Thread thread;

  /**
   * Creates an opener.
   *
   * @param opening makes one attempt
   * @param events notified of the events of the opened storage, on any thread
   * @param onOpened receives the storage when a later attempt succeeds, on the thread of the opener
   */
  StorageOpener(
      AgreementMember.Opening opening,
      Consumer<AgreementStorage.Event> events,
      Consumer<AgreementStorage> onOpened,
      EventLog log) {
    this.opening = opening;
    this.events = events;
    this.onOpened = onOpened;
    this.log = log;
  }

  /**
   * Makes the first attempt.
   *
   * @return the storage, or empty if the disk refuses an operation
   * @throws StorageException if the folder can't be used for another reason
   */
  Optional<AgreementStorage> tryOpen() throws StorageException {
    try {
      return Optional.of(opening.open(events));
    } catch (StorageException e) {
      if (e.fault() != Fault.FAILED) {
        throw e;
      }
      log.error("storage-open-failed", "effect=" + EventLog.quote("no voter until it succeeds"), e);
      return Optional.empty();
    }
  }

  /** Makes further attempts on a thread of its own until one succeeds. */
  void start() {
    Thread started = Thread.ofPlatform().name("storage-opener").daemon().unstarted(this::run);
    thread = started;
    started.start();
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.interrupt();
    }
  }

  private void run() {
    try {
      for (int attempt = 1; true; attempt++) {
        Thread.sleep(RETRY_INTERVAL_MILLIS);
        Optional<AgreementStorage> opened = retry(attempt);
        if (opened.isPresent()) {
          log.info("storage-opened", "attempts=" + attempt);
          onOpened.accept(opened.get());
          return;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Optional<AgreementStorage> retry(int attempt) {
    try {
      return Optional.of(opening.open(events));
    } catch (StorageException e) {
      if (attempt % REPORT_INTERVAL_ATTEMPTS == 1) {
        log.error("storage-open-failed", "attempts=" + attempt, e);
      }
    } catch (RuntimeException | OutOfMemoryError e) {
      // Ending the thread would keep the voter out for good.
      log.error("storage-open-defect", "attempts=" + attempt, e);
    }
    return Optional.empty();
  }
}
