package org.burdockbay.server.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.message.PeerMessage;

/**
 * Sends commands to the leader of the Raft group, and resends them until a reply or a timeout.
 *
 * <p>Resending is safe because each command is idempotent by its content: the change id of a
 * configuration, the version of a catalog, or the epoch and key of a ledger request.
 */
public final class ProposalClient {

  private static final long PROPOSAL_TIMEOUT_MILLIS = 3_000;
  private static final long REPLY_TIMEOUT_MILLIS = 1_000;
  private static final long RETRY_INTERVAL_MILLIS = 50;

  private final Clock clock;
  private final Supplier<Optional<AgreementDriver>> agreement;
  private final Supplier<Optional<String>> leader;
  private final PeerSender sender;
  private final Map<Long, Proposal> proposals = new HashMap<>();
  private long lastRequestId;

  /**
   * Creates a client.
   *
   * @param agreement returns the Raft node of this host, if it has one
   * @param leader returns the id of the leading host, if known
   */
  public ProposalClient(
      Clock clock,
      Supplier<Optional<AgreementDriver>> agreement,
      Supplier<Optional<String>> leader,
      PeerSender sender) {
    this.clock = clock;
    this.agreement = agreement;
    this.leader = leader;
    this.sender = sender;
  }

  /**
   * Proposes a command.
   *
   * @param callback receives the reply, or {@link ControlReply.Unavailable} after a timeout
   */
  public void propose(ControlCommand command, Consumer<ControlReply> callback) {
    long id = ++lastRequestId;
    Proposal proposal = new Proposal(command, callback, clock.millis() + PROPOSAL_TIMEOUT_MILLIS);
    proposals.put(id, proposal);
    send(id, proposal);
  }

  /** Handles the reply to a proposal of this host. */
  public void handleReply(long requestId, ControlReply reply) {
    Proposal proposal = proposals.get(requestId);
    if (proposal == null) {
      return;
    }
    if (reply instanceof ControlReply.Unavailable && clock.millis() < proposal.expiresAt) {
      proposal.nextSendAt = clock.millis() + RETRY_INTERVAL_MILLIS;
      return;
    }
    proposals.remove(requestId);
    proposal.callback.accept(reply);
  }

  /** Resends the proposals whose reply is overdue, and fails the expired ones. */
  public void tick() {
    long now = clock.millis();
    List<Long> due = new ArrayList<>();
    proposals.forEach(
        (id, proposal) -> {
          if (now >= proposal.nextSendAt || now >= proposal.expiresAt) {
            due.add(id);
          }
        });
    for (long id : due) {
      Proposal proposal = proposals.get(id);
      if (proposal != null && now >= proposal.expiresAt) {
        proposals.remove(id);
        proposal.callback.accept(new ControlReply.Unavailable());
      } else if (proposal != null) {
        send(id, proposal);
      }
    }
  }

  private void send(long id, Proposal proposal) {
    proposal.nextSendAt = clock.millis() + REPLY_TIMEOUT_MILLIS;
    Optional<AgreementDriver> leading = agreement.get().filter(AgreementDriver::isLeader);
    if (leading.isPresent()) {
      leading.get().propose(proposal.command, reply -> handleReply(id, reply));
      return;
    }
    Optional<String> target = leader.get();
    if (target.isPresent()) {
      sender.send(target.get(), new PeerMessage.Propose(id, proposal.command));
    } else {
      proposal.nextSendAt = clock.millis() + RETRY_INTERVAL_MILLIS;
    }
  }

  private static final class Proposal {

    private final ControlCommand command;
    private final Consumer<ControlReply> callback;
    private final long expiresAt;
    private long nextSendAt;

    Proposal(ControlCommand command, Consumer<ControlReply> callback, long expiresAt) {
      this.command = command;
      this.callback = callback;
      this.expiresAt = expiresAt;
    }
  }
}
