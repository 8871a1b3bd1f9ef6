package org.burdockbay.server.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.burdockbay.core.agreement.EntryContent;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.RaftMessage;
import org.burdockbay.core.agreement.RaftNode;
import org.burdockbay.core.agreement.RaftRole;
import org.burdockbay.core.agreement.RaftTiming;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.Snapshot;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.control.ControlState;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.storage.LogWriter;
import org.burdockbay.wire.ControlCodec;
import org.burdockbay.wire.WireException;

/**
 * Runs the Raft node of a host with a data folder, and executes its effects.
 *
 * <p>Not thread-safe; must be used on the control thread only.
 */
public final class AgreementDriver {

  private RaftNode node;
  private ControlState state = new ControlState();
  private LogWriter writer;
  private final BiConsumer<String, RaftMessage> sender;
  private final Consumer<ControlState> stateListener;
  private final EventLog log;
  private final Clock clock;
  private final Map<Long, PendingProposal> pendingProposals = new HashMap<>();
  private BooleanSupplier awaitsVoters = () -> false;
  private boolean failed;

  AgreementDriver(
      RaftNode node,
      Optional<Snapshot> snapshot,
      LogWriter writer,
      BiConsumer<String, RaftMessage> sender,
      Consumer<ControlState> stateListener,
      EventLog log,
      Clock clock) {
    this.node = node;
    this.writer = writer;
    this.sender = sender;
    this.stateListener = stateListener;
    this.log = log;
    this.clock = clock;
    snapshot.ifPresent(this::restore);
  }

  /**
   * Sets the condition under which this host, as the leader, accepts no changes yet. Reads are
   * accepted at any time.
   */
  public void deferChangesWhile(BooleanSupplier condition) {
    awaitsVoters = condition;
  }

  /** Starts the writer of the data folder. */
  public void start() {
    writer.start();
  }

  /** Returns the Raft node. */
  public RaftNode node() {
    return node;
  }

  /** Returns the agreed state. */
  public ControlState state() {
    return state;
  }

  /** Returns whether this host leads the group. */
  public boolean isLeader() {
    return !failed && node.role() == RaftRole.LEADER;
  }

  /** Returns whether this voter is out because its storage failed or a snapshot is unreadable. */
  public boolean hasFailed() {
    return failed;
  }

  /** Handles a message from another member. */
  public void receive(RaftMessage message) {
    if (!failed) {
      execute(node.receive(message, clock.millis()));
    }
  }

  /** Handles due timeouts, and compacts the log if due. */
  public void tick() {
    if (!failed) {
      execute(node.tick(clock.millis()));
      compactIfDue();
    }
  }

  /** Sends and writes the output that has accumulated since the last call. */
  public void flush() {
    if (!failed) {
      execute(node.flush());
    }
  }

  /** Handles the completion of all writes up to a ticket. */
  public void persisted(long ticket) {
    if (!failed) {
      execute(node.persisted(ticket, clock.millis()));
    }
  }

  /** Handles an event of the storage. */
  public void handleStorageEvent(AgreementStorage.Event event) {
    switch (event) {
      case AgreementStorage.Event.Synced synced -> persisted(synced.ticket());
      case AgreementStorage.Event.Failed failure -> storageFailed(failure.cause());
      case AgreementStorage.Event.Reopened reopened ->
          resume(reopened.recovered(), reopened.writer());
      case AgreementStorage.Event.Corrupt corrupt -> {
        // This voter has been out since the write failed.
      }
    }
  }

  /**
   * Takes this voter out after a failure of its storage, until the log is open again.
   *
   * <p>A successful sync after a failed one doesn't prove that the earlier write is durable.
   */
  public void storageFailed(Exception cause) {
    failed = true;
    log.error("storage-failed", "voter=" + node.self(), cause);
    failPendingProposals();
  }

  /**
   * Continues with what was synced before the storage failed, as after a restart of the process.
   */
  private void resume(RecoveredLog recovered, LogWriter reopenedWriter) {
    long now = clock.millis();
    VoterId self = node.self();
    // Members whose disks recover together must not use the same election timeouts.
    node = new RaftNode(self, recovered, RaftTiming.DEFAULT, now ^ self.hashCode(), now);
    state = new ControlState();
    writer = reopenedWriter;
    failed = false;
    recovered.snapshot().ifPresent(this::restore);
    writer.start();
    log.info("voter-resumed", "voter=" + node.self());
  }

  /**
   * Proposes a command.
   *
   * @param callback receives the reply once the command is committed, or {@link
   *     ControlReply.Unavailable} if this host doesn't lead or accepts no changes yet, or stops
   *     leading or fails before that
   */
  public void propose(ControlCommand command, Consumer<ControlReply> callback) {
    boolean deferred = !(command instanceof ControlCommand.ReadCatalog) && awaitsVoters();
    OptionalLong index =
        failed || deferred
            ? OptionalLong.empty()
            : node.propose(ControlCodec.toBytes(command), clock.millis());
    if (index.isEmpty()) {
      callback.accept(new ControlReply.Unavailable());
    } else {
      pendingProposals.put(index.getAsLong(), new PendingProposal(node.term(), callback));
    }
  }

  /** Transfers leadership to another voter, if this host leads. */
  public void transferLeadership() {
    if (!failed) {
      execute(node.transferLeadership(clock.millis()));
    }
  }

  private boolean awaitsVoters() {
    return isLeader() && awaitsVoters.getAsBoolean();
  }

  private void execute(List<RaftEffect> effects) {
    for (RaftEffect effect : effects) {
      switch (effect) {
        case RaftEffect.Persist persist -> writer.submit(persist);
        case RaftEffect.Send send -> sender.accept(send.message().to().host(), send.message());
        case RaftEffect.Apply apply -> apply.entries().forEach(this::apply);
        case RaftEffect.Restore restore -> restore(restore.snapshot());
        case RaftEffect.RoleChanged changed -> roleChanged(changed);
      }
    }
  }

  private void apply(LogEntry entry) {
    ControlReply reply = new ControlReply.Unavailable();
    if (entry.content() instanceof EntryContent.Command command) {
      try {
        reply = state.apply(ControlCodec.decodeCommand(command.data()), entry.timeMillis());
      } catch (WireException e) {
        log.error("command-unreadable", "index=" + entry.index(), e);
      }
      stateListener.accept(state);
    }
    PendingProposal pending = pendingProposals.remove(entry.index());
    if (pending != null) {
      // An entry of another leader may have replaced the proposal.
      boolean own = pending.term == entry.term();
      pending.callback.accept(own ? reply : new ControlReply.Unavailable());
    }
  }

  private void restore(Snapshot snapshot) {
    try {
      state.restore(ControlCodec.decodeImage(snapshot.data()));
      stateListener.accept(state);
    } catch (WireException e) {
      log.error("snapshot-unreadable", "index=" + snapshot.index(), e);
      failed = true;
    }
  }

  private void roleChanged(RaftEffect.RoleChanged changed) {
    String leader = changed.leader().map(VoterId::toString).orElse("none");
    log.info(
        "agreement-role",
        "role=" + changed.role() + " term=" + changed.term() + " leader=" + leader);
    if (changed.role() != RaftRole.LEADER) {
      failPendingProposals();
    }
  }

  private void failPendingProposals() {
    List<PendingProposal> failing = new ArrayList<>(pendingProposals.values());
    pendingProposals.clear();
    failing.forEach(pending -> pending.callback.accept(new ControlReply.Unavailable()));
  }

  private void compactIfDue() {
    if (node.isCompactionDue()) {
      execute(node.compact(ControlCodec.toBytes(state.image())));
    }
  }

  private record PendingProposal(long term, Consumer<ControlReply> callback) {}
}
