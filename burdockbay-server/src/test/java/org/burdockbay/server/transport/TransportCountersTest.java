package org.burdockbay.server.transport;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.wire.PeerCodec;
import org.burdockbay.wire.proto.Wire;
import org.testng.annotations.Test;

/** Tests {@link TransportCounters}. */
public class TransportCountersTest {

  private final MetricRegistry registry = new MetricRegistry();
  private final TransportCounters counters = new TransportCounters(registry);

  /** Guards against registrations that are counted as the news beside which they are sent. */
  @Test
  public void countsExtensionsByTheirOwnKind() {
    Wire.Envelope register = PeerCodec.encode(new PeerMessage.RegisterWork(1, 2, "w", false));
    counters.countSent(register);
    counters.countReceived(register, 7);
    counters.countDropped(register);
    assertEquals(count("peer.sent.register-work"), 1);
    assertEquals(count("peer.sent.register-work.bytes"), register.getSerializedSize());
    assertEquals(count("peer.received.register-work.bytes"), 7);
    assertEquals(count("peer.dropped.register-work"), 1);
    assertEquals(count("peer.sent.upstream-news"), 0);
  }

  /** Guards against news that are no longer counted since messages may have extensions. */
  @Test
  public void countsNewsWithoutExtension() {
    counters.countSent(PeerCodec.encode(new PeerMessage.UpstreamNews(List.of(), List.of())));
    assertEquals(count("peer.sent.upstream-news"), 1);
  }

  private long count(String name) {
    return registry.counter(name).getCount();
  }
}
