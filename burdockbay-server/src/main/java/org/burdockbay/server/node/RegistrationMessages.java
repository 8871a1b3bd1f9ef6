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

  static PeerMessage.WorkRegistered toMessage(LeaseEffect.ConfirmRegistration confirm) {
    return new PeerMessage.WorkRegistered(
        confirm.token(), confirm.workId(), confirm.quietPeriodMillis());
  }

  static PeerMessage.DeregisterWork toMessage(LeaseEffect.DeregisterWork deregister) {
    return new PeerMessage.DeregisterWork(deregister.token(), deregister.workId());
  }

  static LeaseEvent toEvent(String host, PeerMessage.RegisterWork register) {
    return new LeaseEvent.WorkRegistered(
        host, register.registrarToken(), register.token(), register.workId(), register.underWay());
  }

  static LeaseEvent toEvent(String host, PeerMessage.WorkRegistered registered) {
    return new LeaseEvent.RegistrationConfirmed(
        host, registered.token(), registered.workId(), registered.quietPeriodMillis());
  }

  static LeaseEvent toEvent(String host, PeerMessage.DeregisterWork deregister) {
    return new LeaseEvent.WorkDeregistered(host, deregister.token(), deregister.workId());
  }
}
