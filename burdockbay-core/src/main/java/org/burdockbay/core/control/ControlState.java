package org.burdockbay.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.catalog.PackedCatalog;
import org.burdockbay.core.ledger.Ledger;

/**
 * The agreed state as a deterministic state machine: the same commands in the same order give the
 * same state and the same replies on every voter.
 */
public final class ControlState {

  /** Versions of the document that are kept for the history. */
  public static final int KEPT_VERSIONS = 20;

  /** Characters of kept documents; past it the oldest versions go first. */
  public static final int KEPT_CHARACTERS = 4_000_000;

  /** Change ids that are remembered; a resend after that many other changes is a new change. */
  public static final int KEPT_CHANGES = 10_000;

  private final Ledger ledger = new Ledger();
  private final Deque<ControlImage.ConfigurationVersion> versions = new ArrayDeque<>();
  private final Map<String, Long> changes = new LinkedHashMap<>();
  private int keptCharacters;
  private PackedCatalog catalog = PackedCatalog.NONE;

  /**
   * Applies a command.
   *
   * @param now the time that the leader gave the command, in milliseconds
   */
  public ControlReply apply(ControlCommand command, long now) {
    return switch (command) {
      case ControlCommand.ToLedger toLedger ->
          new ControlReply.FromLedger(ledger.apply(toLedger.command(), now));
      case ControlCommand.ApplyConfiguration apply -> applyConfiguration(apply, now);
      case ControlCommand.PublishCatalog publish -> publish(publish);
      case ControlCommand.ReadCatalog read -> new ControlReply.Catalog(catalog);
    };
  }

  /** Returns the catalog in force. */
  public PackedCatalog catalog() {
    return catalog;
  }

  /** Returns the newest version of the configuration, if any was applied. */
  public Optional<ControlImage.ConfigurationVersion> configuration() {
    return Optional.ofNullable(versions.peekLast());
  }

  /** Returns the kept versions, oldest first. */
  public List<ControlImage.ConfigurationVersion> history() {
    return List.copyOf(versions);
  }

  /** Returns the ledger. */
  public Ledger ledger() {
    return ledger;
  }

  /** Returns the whole state. */
  public ControlImage image() {
    List<ControlImage.AcceptedChange> accepted = new ArrayList<>();
    changes.forEach((id, version) -> accepted.add(new ControlImage.AcceptedChange(id, version)));
    return new ControlImage(history(), accepted, ledger.image(), catalog);
  }

  /** Replaces the whole state. */
  public void restore(ControlImage image) {
    versions.clear();
    versions.addAll(image.configuration());
    keptCharacters = versions.stream().mapToInt(version -> version.text().length()).sum();
    changes.clear();
    image.changes().forEach(change -> changes.put(change.changeId(), change.version()));
    ledger.restore(image.ledger());
    catalog = image.catalog();
  }

  /**
   * Takes a catalog if its version is the highest.
   *
   * <p>A publisher that lost the answer sends the same again, and two publishers may race. So an
   * older or equal version changes nothing and is answered like a success.
   */
  private ControlReply publish(ControlCommand.PublishCatalog publish) {
    if (publish.catalog().version() > catalog.version()) {
      catalog = publish.catalog();
    }
    return new ControlReply.Accepted(catalog.version());
  }

  private ControlReply applyConfiguration(ControlCommand.ApplyConfiguration apply, long now) {
    Long accepted = changes.get(apply.changeId());
    if (accepted != null) {
      // The operator resends because the answer was lost; it gets the first answer again.
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
    keptCharacters += apply.text().length();
    while (versions.size() > 1
        && (versions.size() > KEPT_VERSIONS || keptCharacters > KEPT_CHARACTERS)) {
      keptCharacters -= versions.removeFirst().text().length();
    }
    changes.put(apply.changeId(), version);
    if (changes.size() > KEPT_CHANGES) {
      changes.remove(changes.keySet().iterator().next());
    }
    return new ControlReply.Accepted(version);
  }
}
