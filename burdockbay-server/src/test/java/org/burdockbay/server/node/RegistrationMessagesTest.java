package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;

import org.burdockbay.core.lease.LeaseEffect;
import org.burdockbay.core.lease.LeaseEvent;
import org.testng.annotations.Test;

/** Tests {@link RegistrationMessages}. */
public class RegistrationMessagesTest {

  /**
   * Guards against a registration under the registrar's token: the registrar would take it for one
   * of an earlier tenure and never confirm it.
   */
  @Test
  public void keepsTokensOfBothDispatchersApart() {
    assertEquals(
        RegistrationMessages.toEvent(
            "sender",
            RegistrationMessages.toMessage(
                new LeaseEffect.RegisterWork("registrar", 1, 2, "w", true))),
        new LeaseEvent.WorkRegistered("sender", 1, 2, "w", true));
  }

  /** Guards against a confirmation that loses the quiet period: runs of a task would overlap. */
  @Test
  public void keepsQuietPeriodOfConfirmation() {
    assertEquals(
        RegistrationMessages.toEvent(
            "registrar",
            RegistrationMessages.toMessage(
                new LeaseEffect.ConfirmRegistration("sender", 2, "w", 3))),
        new LeaseEvent.RegistrationConfirmed("registrar", 2, "w", 3));
  }

  /** Guards against a deregistration of the receiver in place of the sender. */
  @Test
  public void deregistersWorkOfSender() {
    assertEquals(
        RegistrationMessages.toEvent(
            "sender",
            RegistrationMessages.toMessage(new LeaseEffect.DeregisterWork("registrar", 2, "w"))),
        new LeaseEvent.WorkDeregistered("sender", 2, "w"));
  }
}
