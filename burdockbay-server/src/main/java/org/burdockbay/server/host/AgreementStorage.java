package org.burdockbay.server.host;

import java.nio.file.Path;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.RaftMessage;
import org.burdockbay.core.agreement.RaftNode;
import org.burdockbay.core.agreement.RaftTiming;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.Snapshot;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.control.ControlState;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.storage.DataFolder;
import org.burdockbay.server.storage.LogGap;
import org.burdockbay.server.storage.LogStore;
import org.burdockbay.server.storage.LogWriter;
import org.burdockbay.server.storage.RecoveryReport;
import org.burdockbay.server.storage.StorageException;

/**
 * The open data folder of a host, from which its Raft node is created.
 *
 * <p>After a failed write the log is opened again until the disk accepts writes. A log that is
 * found corrupt then ends the use of this object; {@link AgreementMember} opens the folder anew.
 */
public final class AgreementStorage {

  /** Time between two attempts to open the log again after a failed write, in milliseconds. */
  private static final long REOPEN_INTERVAL_MILLIS = 500;

  private final DataFolder folder;
  private final LogStore store;
  private final EventLog log;
  private final Consumer<Event> listener;

  private AgreementStorage(
      DataFolder folder, LogStore store, EventLog log, Consumer<Event> listener) {
    this.folder = folder;
    this.store = store;
    this.log = log;
    this.listener = listener;
  }

  /**
   * Opens a data folder.
   *
   * <p>A folder with a corrupt record is set aside. The votes and entries that it acknowledged can
   * no longer be trusted, so the host starts with a new folder and incarnation, as a learner.
   */
  public static AgreementStorage open(
      Path path, String cluster, String host, EventLog log, Consumer<Event> listener)
      throws StorageException {
    try {
      return openFolder(path, cluster, host, log, listener);
    } catch (StorageException e) {
      if (e.fault() != StorageException.Fault.CORRUPT) {
        throw e;
      }
      Path newPath = DataFolder.setAside(path);
      log.error("data-folder-corrupt", "set-aside=" + newPath, e);
      return openFolder(path, cluster, host, log, listener);
    }
  }

  /** Returns the incarnation of the data folder. */
  public long incarnation() {
    return folder.incarnation();
  }

  /**
   * Creates the driver of the Raft node whose log the folder holds.
   *
   * @param seed seed of the election timeouts
   * @param stateListener notified of the agreed state after each command
   */
  public AgreementDriver createDriver(
      String host,
      long seed,
      BiConsumer<String, RaftMessage> sender,
      Consumer<ControlState> stateListener,
      EventLog log,
      Clock clock) {
    VoterId self = new VoterId(host, folder.incarnation());
    RecoveredLog recovered = store.recoveredLog();
    RaftNode node =
        new RaftNode(self, recovered, RaftTiming.DEFAULT, seed ^ self.hashCode(), clock.millis());
    return new AgreementDriver(
        node, recovered.snapshot(), createWriter(store), sender, stateListener, log, clock);
  }

  private static AgreementStorage openFolder(
      Path path, String cluster, String host, EventLog log, Consumer<Event> listener)
      throws StorageException {
    DataFolder folder = DataFolder.open(path, cluster, host);
    try {
      LogStore store = new LogStore(folder.groupFolder(GroupId.CONTROL.number()), GroupId.CONTROL);
      logOpened(folder, store, log);
      return new AgreementStorage(folder, store, log, listener);
    } catch (StorageException e) {
      folder.close();
      throw e;
    }
  }

  private LogWriter createWriter(LogStore target) {
    return new LogWriter(
        target,
        ticket -> listener.accept(new Event.Synced(ticket)),
        cause -> {
          listener.accept(new Event.Failed(cause));
          reopen(target);
        });
  }

  /**
   * Opens the log again until the disk accepts writes; runs on the thread of the failed writer. A
   * disk that was full or stalled for a while still holds what this voter has acknowledged.
   */
  private void reopen(LogStore failedStore) {
    try {
      for (int attempt = 1; true; attempt++) {
        Thread.sleep(REOPEN_INTERVAL_MILLIS);
        if (tryReopen(failedStore, attempt)) {
          return;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns whether the attempts are over. */
  private boolean tryReopen(LogStore failedStore, int attempt) {
    try {
      LogStore reopened = failedStore.reopen();
      log.info("storage-reopened", "attempts=" + attempt);
      logOpened(folder, reopened, log);
      listener.accept(new Event.Reopened(reopened.recoveredLog(), createWriter(reopened)));
      return true;
    } catch (StorageException e) {
      boolean corrupt = e.fault() == StorageException.Fault.CORRUPT;
      if (corrupt) {
        log.error("storage-corrupt", "incarnation=" + folder.incarnation(), e);
        closeFolder();
        listener.accept(new Event.Corrupt());
      } else if (attempt == 1) {
        log.warn("storage-reopen-failed", "cause=" + EventLog.quote(e.getMessage()));
      }
      return corrupt;
    } catch (RuntimeException | OutOfMemoryError e) {
      // Ending the thread would take the voter out for good.
      log.error("storage-reopen-defect", "attempts=" + attempt, e);
      return false;
    }
  }

  private void closeFolder() {
    try {
      folder.close();
    } catch (StorageException e) {
      log.warn("data-folder-unclosed", "cause=" + EventLog.quote(e.getMessage()));
    }
  }

  private static void logOpened(DataFolder folder, LogStore store, EventLog log) {
    RecoveredLog recovered = store.recoveredLog();
    RecoveryReport report = store.recoveryReport();
    log.info(
        "data-folder-opened",
        "incarnation="
            + folder.incarnation()
            + " segments="
            + report.firstSegment()
            + "-"
            + report.lastSegment()
            + " snapshot="
            + recovered.snapshot().map(Snapshot::index).orElse(0L)
            + " entries="
            + recovered.entries().stream().findFirst().map(LogEntry::index).orElse(0L)
            + "-"
            + (recovered.entries().isEmpty() ? 0 : recovered.entries().getLast().index())
            + " term="
            + recovered.hardState().term()
            + " cut-bytes="
            + report.truncatedBytes()
            + " members="
            + recovered.members());
    for (LogGap gap : report.gaps()) {
      log.info(
          "log-gap",
          "read-up-to="
              + gap.lastIndex()
              + " term="
              + gap.lastTerm()
              + " segment-follows="
              + gap.baseIndex()
              + " next-term="
              + gap.baseTerm());
    }
  }

  /** A notification of the log writer. */
  public sealed interface Event {

    /** All writes up to the ticket were synced. */
    record Synced(long ticket) implements Event {}

    /** A write failed; nothing more is written until the log is open again. */
    record Failed(StorageException cause) implements Event {}

    /** The log is open again, with what was synced before the failure. */
    record Reopened(RecoveredLog recovered, LogWriter writer) implements Event {}

    /** The log was found corrupt when it was opened again, and the data folder was closed. */
    record Corrupt() implements Event {}
  }
}
