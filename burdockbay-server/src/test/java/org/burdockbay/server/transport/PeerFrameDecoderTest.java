package org.burdockbay.server.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the limits on connections of other hosts. */
public class PeerFrameDecoderTest {

  private static final int LARGE_FRAME_BYTES = 10_000;

  /** Guards against anyone who connects and makes this host buffer a large message. */
  @Test
  public void acceptsLargeFramesAfterTheHandshakeOnly() {
    EmbeddedChannel unknown = new EmbeddedChannel(new PeerFrameDecoder());
    expectThrows(TooLongFrameException.class, () -> unknown.writeInbound(frame()));
    PeerFrameDecoder decoder = new PeerFrameDecoder();
    EmbeddedChannel authenticated = new EmbeddedChannel(decoder);
    decoder.handshakeCompleted();
    authenticated.writeInbound(frame());
    assertNotNull(authenticated.readInbound());
  }

  /** Guards against hosts that are kept out by connections without a handshake. */
  @Test
  public void closesOldestConnectionWithoutHandshake() {
    PendingHandshakes pending = new PendingHandshakes();
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i <= PendingHandshakes.MAX_PENDING; i++) {
      EmbeddedChannel channel = new EmbeddedChannel();
      channels.add(channel);
      pending.begun(channel);
    }
    assertFalse(channels.getFirst().isOpen());
    long open = channels.stream().filter(EmbeddedChannel::isOpen).count();
    assertEquals(open, PendingHandshakes.MAX_PENDING);
    pending.ended(channels.get(1));
    pending.begun(new EmbeddedChannel());
    assertTrue(channels.get(1).isOpen());
  }

  private static ByteBuf frame() {
    return Unpooled.buffer().writeInt(LARGE_FRAME_BYTES).writeBytes(new byte[LARGE_FRAME_BYTES]);
  }
}
