package org.burdockbay.server.host;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.storage.StorageException;

/**
 * The membership of this host in the agreement group.
 *
 * <p>It begins once the data folder is open. If the disk refuses that at the start, the host runs
 * without a member until a later attempt succeeds. It ends if the log is found corrupt; then the
 * folder is set aside, and the host joins again as another member.
 *
 * <p>Not thread-safe; must be used on the control thread once {@link #start} was called.
 */
public final class AgreementMember implements AutoCloseable {

  private final Optional<StorageOpener> opener;
  private final Function<AgreementStorage, AgreementDriver> driverFactory;
  private final Runnable onOpened;
  private final Consumer<Runnable> control;
  private Optional<AgreementDriver> driver = Optional.empty();
  private long storageIncarnation;

  /**
   * Creates the membership of a host.
   *
   * @param opening opens the data folder; empty if the host has none
   * @param driverFactory creates the driver of the Raft node of a data folder
   * @param onOpened called on the control thread after the data folder was opened by a later
   *     attempt
   * @param control executes tasks on the control thread
   */
  public AgreementMember(
      Optional<Opening> opening,
      Function<AgreementStorage, AgreementDriver> driverFactory,
      Runnable onOpened,
      Consumer<Runnable> control,
      EventLog log) {
    this.driverFactory = driverFactory;
    this.onOpened = onOpened;
    this.control = control;
    this.opener =
        opening.map(
            open ->
                new StorageOpener(
                    open,
                    this::onEvent,
                    storage -> control.accept(() -> openedLater(storage)),
                    log));
  }

  /**
   * Opens the data folder, if there is one and its disk accepts writes.
   *
   * @throws StorageException if the folder belongs to another host or cluster, or is in use
   */
  public void open() throws StorageException {
    if (opener.isPresent()) {
      opener.get().tryOpen().ifPresent(this::join);
    }
  }

  /** Starts the writer of the data folder, or the further attempts to open it. */
  public void start() {
    driver.ifPresentOrElse(AgreementDriver::start, () -> opener.ifPresent(StorageOpener::start));
  }

  /** Returns the driver of the Raft node; empty while the data folder isn't open. */
  public Optional<AgreementDriver> driver() {
    return driver;
  }

  /** Returns the incarnation of the data folder; 0 while it isn't open or its storage fails. */
  public long storageIncarnation() {
    return driver.filter(current -> !current.hasFailed()).isPresent() ? storageIncarnation : 0;
  }

  /** Ends the attempts to open the data folder. */
  @Override
  public void close() {
    opener.ifPresent(StorageOpener::close);
  }

  private void join(AgreementStorage storage) {
    driver = Optional.of(driverFactory.apply(storage));
    storageIncarnation = storage.incarnation();
  }

  private void openedLater(AgreementStorage storage) {
    join(storage);
    driver.ifPresent(AgreementDriver::start);
    onOpened.run();
  }

  private void onEvent(AgreementStorage.Event event) {
    control.accept(() -> handle(event));
  }

  private void handle(AgreementStorage.Event event) {
    driver.ifPresent(current -> current.handleStorageEvent(event));
    if (event instanceof AgreementStorage.Event.Corrupt) {
      driver = Optional.empty();
      opener.ifPresent(StorageOpener::start);
    }
  }

  /** Opens the data folder once. */
  public interface Opening {

    /**
     * Opens the data folder.
     *
     * @param listener notified of the events of the storage, on any thread
     * @throws StorageException if the folder can't be opened
     */
    AgreementStorage open(Consumer<AgreementStorage.Event> listener) throws StorageException;
  }
}
