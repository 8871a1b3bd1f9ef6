package org.burdockbay.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.ledger.Ledger;

/**
 * The replicated state as a deterministic state machine.
 *
 * <p>Every voter applies the same commands in the same order and reaches the same state and the
 * same replies.
 */
public final class ControlState {

  /** Maximum number of configuration versions retained for the history. */
  public static final int MAX_RETAINED_VERSIONS = 20;

  /** Maximum characters of all retained versions; beyond it the oldest versions are removed. */
  public static final int MAX_RETAINED_CHARACTERS = 4_000_000;

  /**
   * Maximum number of retained change ids. A change that is resent after this many other changes
   * counts as a new change.
   */
  public static final int MAX_RETAINED_CHANGES = 10_000;

  private final Ledger ledger = new Ledger();
  private final Deque<ControlImage.ConfigurationVersion> versions = new ArrayDeque<>();
  private final Map<String, Long> acceptedChanges = new LinkedHashMap<>();
  private int retainedCharacters;
  private CompressedCatalog catalog = CompressedCatalog.EMPTY;
  private Evacuations evacuations = Evacuations.NONE;

  /**
   * Applies a command.
   *
   * @param now time that the leader assigned to the command, in milliseconds
   */
  public ControlReply apply(ControlCommand command, long now) {
    return switch (command) {
      case ControlCommand.LedgerOperation toLedger ->
          new ControlReply.LedgerResult(ledger.apply(toLedger.command(), now));
      case ControlCommand.ApplyConfiguration apply -> applyConfiguration(apply, now);
      case ControlCommand.PublishCatalog publish -> publishCatalog(publish);
      case ControlCommand.ChangeEvacuation change -> changeEvacuation(change);
      case ControlCommand.ReadCatalog read -> new ControlReply.CatalogContent(catalog);
    };
  }

  /** Returns the catalog in force. */
  public CompressedCatalog catalog() {
    return catalog;
  }

  /** Returns the evacuated failure domains. */
  public Evacuations evacuations() {
    return evacuations;
  }

  /** Returns the current version of the configuration, or empty if none was applied yet. */
  public Optional<ControlImage.ConfigurationVersion> configuration() {
    return Optional.ofNullable(versions.peekLast());
  }

  /** Returns the retained versions of the configuration, oldest first. */
  public List<ControlImage.ConfigurationVersion> history() {
    return List.copyOf(versions);
  }

  /** Returns the ledger. */
  public Ledger ledger() {
    return ledger;
  }

  /** Returns a copy of the complete state. */
  public ControlImage image() {
    List<ControlImage.AcceptedChange> accepted = new ArrayList<>();
    acceptedChanges.forEach(
        (id, version) -> accepted.add(new ControlImage.AcceptedChange(id, version)));
    return new ControlImage(history(), accepted, ledger.image(), catalog, evacuations);
  }

  /** Replaces the complete state. */
  public void restore(ControlImage image) {
    versions.clear();
    versions.addAll(image.configuration());
    retainedCharacters = versions.stream().mapToInt(version -> version.text().length()).sum();
    acceptedChanges.clear();
    image.changes().forEach(change -> acceptedChanges.put(change.changeId(), change.version()));
    ledger.restore(image.ledger());
    catalog = image.catalog();
    evacuations = image.evacuations();
  }

  /**
   * Puts a catalog in force if its version is higher than the current one.
   *
   * <p>A publisher resends a catalog if the reply was lost, and several publishers may compete. An
   * older or equal version therefore changes nothing and is accepted as well.
   */
  private ControlReply publishCatalog(ControlCommand.PublishCatalog publish) {
    if (publish.catalog().version() > catalog.version()) {
      catalog = publish.catalog();
    }
    return new ControlReply.Accepted(catalog.version());
  }

  /**
   * Changes the evacuation of a failure domain.
   *
   * <p>An order that is already carried out is accepted whatever version it is based on, as it may
   * be the resend of one whose reply was lost.
   */
  private ControlReply changeEvacuation(ControlCommand.ChangeEvacuation change) {
    if (evacuations.contains(change.domain()) == change.evacuated()) {
      return new ControlReply.Accepted(evacuations.version());
    }
    if (change.expectedVersion() != evacuations.version()) {
      return new ControlReply.VersionConflict(evacuations.version());
    }
    evacuations = evacuations.with(change.domain(), change.evacuated());
    return new ControlReply.Accepted(evacuations.version());
  }

  private ControlReply applyConfiguration(ControlCommand.ApplyConfiguration apply, long now) {
    Long accepted = acceptedChanges.get(apply.changeId());
    if (accepted != null) {
      // The change was resent because the reply was lost: returns the original reply.
      return new ControlReply.Accepted(accepted);
    }
    long current = configuration().map(ControlImage.ConfigurationVersion::version).orElse(0L);
    if (apply.expectedVersion() != current) {
      return new ControlReply.VersionConflict(current);
    }
    long version = current + 1;
    versions.addLast(
        new ControlImage.ConfigurationVersion(
            version, apply.text(), apply.changeId(), apply.operator(), now));
    retainedCharacters += apply.text().length();
    while (versions.size() > 1
        && (versions.size() > MAX_RETAINED_VERSIONS
            || retainedCharacters > MAX_RETAINED_CHARACTERS)) {
      retainedCharacters -= versions.removeFirst().text().length();
    }
    acceptedChanges.put(apply.changeId(), version);
    if (acceptedChanges.size() > MAX_RETAINED_CHANGES) {
      acceptedChanges.remove(acceptedChanges.keySet().iterator().next());
    }
    return new ControlReply.Accepted(version);
  }
}
