package org.burdockbay.server.transport;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlState;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.wire.ControlCodec;
import org.burdockbay.wire.proto.Wire;
import org.testng.annotations.Test;

/** Tests the encoding of evacuations in the agreement log and in snapshots. */
public class EvacuationCodecTest {

  /** Guards against a voter with a new disk that gets a snapshot without the evacuations. */
  @Test
  public void keepsEvacuationsInSnapshots() throws Exception {
    ControlState state = new ControlState();
    for (String domain : new String[] {"a", "b"}) {
      ControlCommand change =
          new ControlCommand.ChangeEvacuation(domain, true, state.evacuations().version());
      state.apply(ControlCodec.decodeCommand(ControlCodec.toBytes(change)), 1);
    }
    ControlState restored = new ControlState();
    restored.restore(ControlCodec.decodeImage(ControlCodec.toBytes(state.image())));
    assertEquals(restored.evacuations(), new Evacuations(2, Set.of("a", "b")));
  }

  /** Guards against a host that can't read the snapshot of an earlier release. */
  @Test
  public void readsSnapshotsWithoutEvacuations() throws Exception {
    Wire.ControlImage earlier =
        Wire.ControlImage.newBuilder()
            .setCatalog(Wire.CatalogDocument.newBuilder().setVersion(7).setText("{}"))
            .build();
    assertEquals(
        ControlCodec.decodeImage(Bytes.copyOf(earlier.toByteArray())).evacuations(),
        Evacuations.NONE);
  }
}
