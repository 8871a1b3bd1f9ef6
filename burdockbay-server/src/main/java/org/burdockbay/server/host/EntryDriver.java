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

/** Runs the {@link EntryGateway} on the control thread and completes the waiting requests. */
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

  /** Hands an event with a new ticket to the gateway; the answer completes the future. */
  void handleRequest(LongFunction<EntryEvent> event, CompletableFuture<JobOutcome> answer) {
    long ticket = ++lastTicket;
    pendingRequests.put(ticket, answer);
    handle(event.apply(ticket));
  }

  void handle(EntryEvent event) {
    List<EntryEffect> effects = gateway.handle(event, parts.clock().millis());
    effects.forEach(this::execute);
  }

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
          // Completed on a traffic thread, so that writing answers doesn't hold up control.
          waiting.completeAsync(answer::outcome);
        }
      }
    }
  }
}
