package org.burdockbay.server.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.wire.PeerCodec;
import org.burdockbay.wire.WireException;
import org.burdockbay.wire.proto.Wire;
import org.testng.annotations.Test;

/** Tests the encoding of the speeds of upstreams in peer messages. */
public class UpstreamSpeedsCodecTest {

  private static final PeerMessage.UpstreamSpeeds MESSAGE =
      new PeerMessage.UpstreamSpeeds(Map.of("u1", 0.5, "u2", 1.0, "u3", 4.0));

  /** Guards against speeds that are lost or assigned to another upstream. */
  @Test
  public void keepsSpeeds() throws Exception {
    assertEquals(PeerCodec.decode(PeerCodec.encode(MESSAGE)), MESSAGE);
  }

  /**
   * Guards against broken connections to hosts of an earlier version, which close a connection on
   * which a message of an unknown kind arrives. They don't know the field of the speeds, and decode
   * the rest of the message.
   */
  @Test
  public void isHarmlessToOlderHosts() throws Exception {
    Wire.Envelope readByOlderHost =
        PeerCodec.encode(MESSAGE).toBuilder().clearUpstreamSpeeds().build();
    assertEquals(
        PeerCodec.decode(readByOlderHost), new PeerMessage.UpstreamNews(List.of(), List.of()));
  }

  /** Guards against messages that would assign speeds to the wrong upstreams. */
  @Test
  public void rejectsMissingSpeeds() {
    Wire.Envelope.Builder envelope = PeerCodec.encode(MESSAGE).toBuilder();
    envelope.setUpstreamSpeeds(
        envelope.getUpstreamSpeeds().toBuilder().setSpeeds(ByteString.copyFrom(new byte[2])));
    assertThrows(WireException.class, () -> PeerCodec.decode(envelope.build()));
  }
}
