package org.burdockbay.server.transport;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.wire.PeerCodec;
import org.burdockbay.wire.proto.Wire;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the encoding of the registration of work in peer messages. */
public class RegistrationCodecTest {

  /** Returns each message with a different value in each field. */
  @DataProvider
  public Object[][] messages() {
    return new Object[][] {
      {new PeerMessage.RegisterWork(1, 2, "w", true)},
      {new PeerMessage.RegisterWork(1, 2, "w", false)},
      {new PeerMessage.ConfirmRegistration(2, "w", 3)},
      {new PeerMessage.ConfirmRegistration(2, "w", 0)},
      {new PeerMessage.DeferRegistration(2, "w", "holder")},
      {new PeerMessage.DeregisterWork(2, "w")},
    };
  }

  /** Guards against lost or exchanged fields, such as the tokens of both dispatchers. */
  @Test(dataProvider = "messages")
  public void keepsEveryField(PeerMessage message) throws Exception {
    assertEquals(PeerCodec.decode(PeerCodec.encode(message)), message);
  }

  /**
   * Guards against broken connections to hosts of an earlier version, which close a connection on
   * which a message of an unknown kind arrives. They don't know the field of the registration, and
   * decode the rest of the message.
   */
  @Test(dataProvider = "messages")
  public void isHarmlessToOlderHosts(PeerMessage message) throws Exception {
    Wire.Envelope readByOlderHost = PeerCodec.encode(message).toBuilder().clearExtension().build();
    assertEquals(
        PeerCodec.decode(readByOlderHost), new PeerMessage.UpstreamNews(List.of(), List.of()));
  }
}
