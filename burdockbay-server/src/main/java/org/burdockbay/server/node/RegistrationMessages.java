package org.burdockbay.server.node;

import org.burdockbay.core.lease.LeaseEffect;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.message.PeerMessage;

/** Converts effects that register work into messages to other hosts, and theirs into events. */
final class RegistrationMessages {

  private RegistrationMessages() {}

  static PeerMessage.RegisterWork toMessage(LeaseEffect.RegisterWork register) {
    return new PeerMessage.RegisterWork(
        register.registrarToken(), register.token(), register.workId(), register.underWay());
  }

  static PeerMessage.ConfirmRegistration toMessage(LeaseEffect.ConfirmRegistration confirm) {
    return new PeerMessage.ConfirmRegistration(
        confirm.token(), confirm.workId(), confirm.quietPeriodMillis());
  }

  static PeerMessage.DeferRegistration toMessage(LeaseEffect.DeferRegistration defer) {
    return new PeerMessage.DeferRegistration(defer.token(), defer.workId(), defer.holder());
  }

  static PeerMessage.DeregisterWork toMessage(LeaseEffect.DeregisterWork deregister) {
    return new PeerMessage.DeregisterWork(deregister.token(), deregister.workId());
  }

  static LeaseEvent toEvent(String host, PeerMessage.RegisterWork register) {
    return new LeaseEvent.WorkRegistered(
        host, register.registrarToken(), register.token(), register.workId(), register.underWay());
  }

  static LeaseEvent toEvent(String host, PeerMessage.ConfirmRegistration confirm) {
    return new LeaseEvent.RegistrationConfirmed(
        host, confirm.token(), confirm.workId(), confirm.quietPeriodMillis());
  }

  static LeaseEvent toEvent(String host, PeerMessage.DeferRegistration defer) {
    return new LeaseEvent.RegistrationDeferred(host, defer.token(), defer.workId(), defer.holder());
  }

  static LeaseEvent toEvent(String host, PeerMessage.DeregisterWork deregister) {
    return new LeaseEvent.WorkDeregistered(host, deregister.token(), deregister.workId());
  }
}
