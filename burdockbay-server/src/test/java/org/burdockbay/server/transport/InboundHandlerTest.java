package org.burdockbay.server.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.wire.PeerCodec;
import org.burdockbay.wire.proto.Wire;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which messages the accepting end of a connection passes on. */
public class InboundHandlerTest {

  private static final long MAX_GAP_MILLIS = 450;
  private static final PeerMessage MESSAGE = new PeerMessage.CancelWork(1, "w");

  private final List<PeerMessage> received = new ArrayList<>();
  private final List<String> authenticatedHosts = new ArrayList<>();
  private EmbeddedChannel channel;
  private long now;

  /** Connects and authenticates another host. */
  @BeforeMethod
  public void setUp() {
    now = 10_000;
    received.clear();
    authenticatedHosts.clear();
    Handshake remoteHandshake = new Handshake(settings("10.0.0.2"), 1);
    channel =
        new EmbeddedChannel(
            new InboundHandler(
                new Handshake(settings("10.0.0.1"), 1),
                new Listener(),
                authenticatedHosts::add,
                MAX_GAP_MILLIS,
                () -> now,
                new TransportCounters(new MetricRegistry()),
                new EventLog("test")));
    channel.writeInbound(Wire.Envelope.newBuilder().setHello(remoteHandshake.hello()).build());
    channel.writeInbound(
        Wire.Envelope.newBuilder().setProof(Wire.Proof.getDefaultInstance()).build());
    assertEquals(authenticatedHosts, List.of("10.0.0.2"));
  }

  /** Guards against closing a connection whose heartbeats are delayed by less than the limit. */
  @Test
  public void passesOnMessagesWithinTheGap() {
    now += MAX_GAP_MILLIS;
    channel.writeInbound(PeerCodec.encode(MESSAGE));
    now += MAX_GAP_MILLIS;
    channel.writeInbound(PeerCodec.encode(MESSAGE));
    assertEquals(received.size(), 2);
    assertTrue(channel.isOpen());
  }

  /**
   * Guards against outdated messages after a partition: the network delivers messages that were
   * sent before it. A heartbeat from before its sender became dispatcher made the other dispatcher
   * claim the role again, and both lost their work in progress. Old work would start after its
   * refusal.
   */
  @Test
  public void dropsMessagesAfterLongGaps() {
    channel.writeInbound(PeerCodec.encode(MESSAGE));
    now += MAX_GAP_MILLIS + 1;
    channel.writeInbound(PeerCodec.encode(MESSAGE), PeerCodec.encode(MESSAGE));
    assertEquals(received.size(), 1);
    assertFalse(channel.isOpen());
  }

  /**
   * Guards against closed connections in an upgrade: a host of a later version sends messages of
   * new kinds in fields beside empty news.
   */
  @Test
  public void acceptsUnknownFieldsBesideNews() throws Exception {
    channel.writeInbound(
        withUnknownField(PeerCodec.encode(new PeerMessage.UpstreamNews(List.of(), List.of()))));
    assertEquals(received, List.of(new PeerMessage.UpstreamNews(List.of(), List.of())));
    assertTrue(channel.isOpen());
  }

  /** Appends a field that no version uses: number 1000, varint 1. */
  private static Wire.Envelope withUnknownField(Wire.Envelope envelope) throws Exception {
    ByteString unknown = ByteString.copyFrom(new byte[] {(byte) 0xC0, 0x3E, 1});
    return Wire.Envelope.parseFrom(envelope.toByteString().concat(unknown));
  }

  private static TransportSettings settings(String host) {
    return new TransportSettings(
        "c", host, "", new HostAddress(host, 1), other -> true, 1, 1_000, 1_000, MAX_GAP_MILLIS);
  }

  private final class Listener implements PeerListener {

    @Override
    public void messageReceived(String host, PeerMessage message) {
      received.add(message);
    }

    @Override
    public void connectionOpened(String host) {
      // This test sends nothing back.
    }
  }
}
