package org.burdockbay.server.host;

import java.util.List;
import java.util.function.LongConsumer;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.dispatch.DispatchEffect;
import org.burdockbay.core.dispatch.DispatchEvent;
import org.burdockbay.core.dispatch.Dispatcher;
import org.burdockbay.core.dispatch.LedgerRequest;
import org.burdockbay.core.ledger.LedgerCommand;
import org.burdockbay.core.ledger.LedgerReply;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.server.runner.RunnerListener;

/** Runs the {@link Dispatcher} on the control thread, and executes its effects. */
final class DispatchDriver {

  private final HostParts parts;
  private final Dispatcher dispatcher;
  private final ProposalClient proposals;
  private final PeerSender sender;
  private final RunnerListener listener;
  private final LongConsumer onSuperseded;

  /**
   * Creates a driver.
   *
   * @param listener notified of the results of calls to runners
   * @param onSuperseded receives the epoch that superseded the epoch of the dispatcher
   */
  DispatchDriver(
      HostParts parts,
      Dispatcher dispatcher,
      ProposalClient proposals,
      PeerSender sender,
      RunnerListener listener,
      LongConsumer onSuperseded) {
    this.parts = parts;
    this.dispatcher = dispatcher;
    this.proposals = proposals;
    this.sender = sender;
    this.listener = listener;
    this.onSuperseded = onSuperseded;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  void handle(DispatchEvent event) {
    List<DispatchEffect> effects = dispatcher.handle(event, parts.clock().millis());
    effects.forEach(this::execute);
  }

  private void execute(DispatchEffect effect) {
    switch (effect) {
      case DispatchEffect.StartAttempt start -> parts.runners().start(start, listener);
      case DispatchEffect.QueryAttempt query -> parts.runners().query(query, listener);
      case DispatchEffect.CancelAttempts cancel -> parts.runners().cancel(cancel);
      case DispatchEffect.FenceRunner fence ->
          parts.runners().fence(fence, parts.settings().domain(), listener);
      case DispatchEffect.ReportJob report ->
          sender.send(
              report.host(),
              new PeerMessage.ReportJob(report.key(), report.digest(), report.outcome()));
      case DispatchEffect.RedirectJob redirect ->
          sender.send(
              redirect.host(), new PeerMessage.RedirectJob(redirect.key(), redirect.domain()));
      case DispatchEffect.ReturnJob returned ->
          sender.send(returned.host(), new PeerMessage.ReturnJob(returned.key()));
      case DispatchEffect.ProposeLedger propose -> propose(propose.request());
      case DispatchEffect.StepDown stepDown -> onSuperseded.accept(stepDown.higherEpoch());
      case DispatchEffect.LogEvent logEvent -> {
        parts.metrics().countEvent(logEvent.event());
        parts.log().info(logEvent.event(), logEvent.fields());
      }
    }
  }

  private void propose(LedgerRequest request) {
    LedgerCommand command = new LedgerCommand(parts.settings().domain(), request);
    proposals.propose(
        new ControlCommand.LedgerOperation(command),
        reply -> handle(new DispatchEvent.LedgerAnswered(request, ledgerReply(reply))));
  }

  private static LedgerReply ledgerReply(ControlReply reply) {
    return reply instanceof ControlReply.LedgerResult fromLedger
        ? fromLedger.reply()
        : new LedgerReply.Unavailable();
  }
}
