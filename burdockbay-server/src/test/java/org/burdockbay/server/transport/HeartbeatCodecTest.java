package org.burdockbay.server.transport;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.catalog.CatalogConfirmation;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.wire.PeerCodec;
import org.testng.annotations.Test;

/** Tests the encoding of heartbeats in peer messages. */
public class HeartbeatCodecTest {

  /** Guards against lost fields, which would make hosts elect dispatchers from different data. */
  @Test
  public void keepsEveryFieldOfHeartbeats() throws Exception {
    HostStatus status =
        new HostStatus(
            "10.0.0.1",
            "entry",
            2,
            3,
            4,
            1L << 52,
            6,
            true,
            "10.0.0.9",
            new DomainLoad(7, 8),
            "north",
            new ShardLayout(3),
            new ShardId("north", 2),
            new Evacuations(5, Set.of("south", "east")),
            270);
    PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(status, OptionalLong.of(40));
    assertEquals(PeerCodec.decode(PeerCodec.encode(heartbeat)), heartbeat);
  }

  /** Guards against a lost confirmation, without which entry hosts refuse callers. */
  @Test
  public void keepsCatalogConfirmation() throws Exception {
    HostStatus status =
        new HostStatus("10.0.0.1", "entry", 2, 3, 4, 5, 6, false, "", new DomainLoad(7, 8, 9));
    for (CatalogConfirmation confirmation :
        List.of(
            new CatalogConfirmation(4, OptionalLong.of(0), OptionalLong.of(1_000), 30),
            new CatalogConfirmation(0, OptionalLong.empty(), OptionalLong.empty(), 0))) {
      PeerMessage.Heartbeat heartbeat =
          new PeerMessage.Heartbeat(
              status, OptionalLong.of(40), OptionalLong.of(77), Optional.of(confirmation));
      assertEquals(PeerCodec.decode(PeerCodec.encode(heartbeat)), heartbeat);
    }
  }

  /** Guards against a lost total, without which entry hosts don't count what they have sent. */
  @Test
  public void keepsTotalOfSlots() throws Exception {
    HostStatus status =
        new HostStatus(
            "10.0.0.1", "entry", 2, 3, 4, 5, 6, false, "10.0.0.9", new DomainLoad(7, 8, 9));
    PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(status, OptionalLong.of(40));
    assertEquals(PeerCodec.decode(PeerCodec.encode(heartbeat)), heartbeat);
  }
}
