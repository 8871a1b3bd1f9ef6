package org.burdockbay.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.entry.EntryEffect;
import org.burdockbay.core.entry.EntryEvent;
import org.burdockbay.core.entry.EntryGateway;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.membership.MembershipEffect;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.statechart.StateChartException;

/** A host of the model: the same parts as in the daemon, connected in the same way. */
final class ModelHost {

  final String name;
  final String domain;
  boolean down;
  boolean paused;
  long incarnation;
  Membership membership;
  EntryGateway gateway;
  Dispatcher dispatcher;
  private final DispatchModel model;
  private final Map<String, String> domainsByHost;
  private final DispatchConfiguration configuration;
  private long nextHeartbeatAt;

  ModelHost(
      DispatchModel model,
      String name,
      Map<String, String> domains,
      DispatchConfiguration configuration) {
    this.model = model;
    this.name = name;
    this.domain = domains.get(name);
    this.domainsByHost = domains;
    this.configuration = configuration;
    restart();
  }

  boolean isRunning() {
    return !down && !paused;
  }

  void restart() {
    incarnation++;
    down = false;
    paused = false;
    membership = new Membership(name, domainsByHost, model.now());
    gateway = new EntryGateway(domain);
    try {
      dispatcher = new Dispatcher(domain);
    } catch (StateChartException e) {
      throw new AssertionError(e);
    }
    dispatch(new DispatchEvent.ConfigurationChanged(configuration));
  }

  void dispatch(DispatchEvent event) {
    for (DispatchEffect effect : dispatcher.handle(event, model.now())) {
      switch (effect) {
        case DispatchEffect.ReportJob report ->
            send(
                report.host(),
                new PeerMessage.ReportJob(report.key(), report.digest(), report.outcome()));
        case DispatchEffect.RedirectJob redirect ->
            send(redirect.host(), new PeerMessage.RedirectJob(redirect.key(), redirect.domain()));
        case DispatchEffect.ReturnJob returned ->
            send(returned.host(), new PeerMessage.ReturnJob(returned.key()));
        case DispatchEffect.StepDown stepDown ->
            apply(membership.handleHigherEpoch(stepDown.higherEpoch(), model.now()));
        case DispatchEffect.LogEvent line -> model.logEvent(name, line);
        default -> model.execute(this, effect);
      }
    }
  }

  void enter(EntryEvent event) {
    for (EntryEffect effect : gateway.handle(event, model.now())) {
      switch (effect) {
        case EntryEffect.SendJob send ->
            send(send.host(), new PeerMessage.SubmitJob(send.request(), send.arrival()));
        case EntryEffect.SendFollow follow ->
            send(follow.host(), new PeerMessage.FollowJob(follow.key()));
        case EntryEffect.SendCancel cancel ->
            send(cancel.host(), new PeerMessage.CancelJob(cancel.key()));
        case EntryEffect.Answer answer -> model.recordAnswer(this, answer);
      }
    }
  }

  void receive(String from, PeerMessage message) {
    switch (message) {
      case PeerMessage.Heartbeat heartbeat ->
          apply(membership.heartbeat(heartbeat.status(), model.now()));
      case PeerMessage.SubmitJob submit ->
          dispatch(new DispatchEvent.JobSubmitted(submit.request(), from, submit.arrival()));
      case PeerMessage.FollowJob follow ->
          dispatch(new DispatchEvent.JobFollowed(follow.key(), from));
      case PeerMessage.CancelJob cancel ->
          dispatch(new DispatchEvent.JobCancelled(cancel.key(), from));
      case PeerMessage.ReportJob report ->
          enter(new EntryEvent.Reported(report.key(), report.digest(), report.outcome()));
      case PeerMessage.RedirectJob redirect ->
          enter(new EntryEvent.Redirected(redirect.key(), redirect.domain()));
      case PeerMessage.ReturnJob returned -> enter(new EntryEvent.Returned(returned.key(), from));
      default -> throw new AssertionError(message);
    }
  }

  void tick() {
    apply(membership.tick(model.now()));
    dispatch(new DispatchEvent.Tick());
    enter(new EntryEvent.Tick());
    if (model.now() >= nextHeartbeatAt) {
      sendHeartbeat();
    }
  }

  void drain() {
    apply(membership.drain(model.now()));
    sendHeartbeat();
  }

  boolean isIdle() {
    return gateway.pendingCount() == 0 && dispatcher.snapshot().unfinishedJobs() == 0;
  }

  void apply(List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      switch (effect) {
        case MembershipEffect.Claim claim -> {
          dispatch(new DispatchEvent.EpochGranted(claim.epoch()));
          sendHeartbeat();
        }
        case MembershipEffect.Yield yield -> {
          dispatch(new DispatchEvent.EpochLost());
          sendHeartbeat();
        }
        case MembershipEffect.RoutesChanged routes ->
            enter(new EntryEvent.RoutesChanged(routes.view()));
        case MembershipEffect.LayoutChanged changed -> {}
        case MembershipEffect.HostLost lost -> {}
        case MembershipEffect.HostFound found -> {}
      }
    }
  }

  private void sendHeartbeat() {
    nextHeartbeatAt = model.now() + 250;
    HostStatus status =
        new HostStatus(
            name,
            domain,
            incarnation,
            0,
            1,
            membership.claimedEpoch(),
            membership.highestEpoch(),
            membership.isDraining(),
            "",
            dispatcher.load());
    domainsByHost.keySet().stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> send(other, new PeerMessage.Heartbeat(status)));
    Map<String, DomainLoad> loads = new HashMap<>();
    for (HostStatus other : membership.liveHosts()) {
      if (!other.domain().equals(domain) && other.dispatcherEpoch() != 0 && !other.draining()) {
        loads.put(other.domain(), other.load());
      }
    }
    dispatch(new DispatchEvent.DomainLoadsReported(loads));
  }

  private void send(String to, PeerMessage message) {
    model.send(this, to, message);
  }
}
