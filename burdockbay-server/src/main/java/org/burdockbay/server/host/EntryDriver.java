package org.burdockbay.server.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import org.burdockbay.core.entry.EntryEffect;
import org.burdockbay.core.entry.EntryEvent;
import org.burdockbay.core.entry.EntryGateway;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.submission.JobOutcome;

/** Runs the {@link EntryGateway} on the control thread, and completes the pending requests. */
final class EntryDriver {

  private final HostParts parts;
  private final EntryGateway gateway;
  private final PeerSender sender;
  private final Map<Long, CompletableFuture<JobOutcome>> pendingRequests = new HashMap<>();
  private long lastTicket;

  EntryDriver(HostParts parts, EntryGateway gateway, PeerSender sender) {
    this.parts = parts;
    this.gateway = gateway;
    this.sender = sender;
  }

  /**
   * Assigns a ticket to a request and passes it to the gateway.
   *
   * @param event creates the event of the request from its ticket
   * @param answer completed with the outcome
   */
  void handleRequest(LongFunction<EntryEvent> event, CompletableFuture<JobOutcome> answer) {
    long ticket = ++lastTicket;
    pendingRequests.put(ticket, answer);
    handle(event.apply(ticket));
  }

  void handle(EntryEvent event) {
    List<EntryEffect> effects = gateway.handle(event, parts.clock().millis());
    effects.forEach(this::execute);
  }

  /** Returns the number of requests that wait for an outcome. */
  int waitingRequests() {
    return pendingRequests.size();
  }

  private void execute(EntryEffect effect) {
    switch (effect) {
      case EntryEffect.SendJob send ->
          sender.send(send.host(), new PeerMessage.SubmitJob(send.request(), send.arrival()));
      case EntryEffect.SendFollow follow ->
          sender.send(follow.host(), new PeerMessage.FollowJob(follow.key()));
      case EntryEffect.SendCancel cancel ->
          sender.send(cancel.host(), new PeerMessage.CancelJob(cancel.key()));
      case EntryEffect.Answer answer -> {
        CompletableFuture<JobOutcome> waiting = pendingRequests.remove(answer.ticket());
        if (waiting != null) {
          // Asynchronously, so that writing responses doesn't hold up the control thread.
          waiting.completeAsync(answer::outcome);
        }
      }
    }
  }
}
