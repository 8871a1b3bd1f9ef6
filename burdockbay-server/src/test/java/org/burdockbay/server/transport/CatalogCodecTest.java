package org.burdockbay.server.transport;

import static org.testng.Assert.assertEquals;

import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.catalog.CatalogPart;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.wire.ControlCodec;
import org.burdockbay.wire.PeerCodec;
import org.burdockbay.wire.proto.Wire;
import org.testng.annotations.Test;

/** Tests the encoding of catalogs in peer messages and in the agreement log. */
public class CatalogCodecTest {

  private static final CompressedCatalog CATALOG = CompressedCatalog.of(7, "{\"version\":7}");

  /** Guards against fields that are lost in encoding, such as the offset of a part. */
  @Test
  public void keepsEveryFieldOfRequestsAndParts() throws Exception {
    PeerMessage request = new PeerMessage.FetchCatalogPart(new CatalogPart.Request(7, 4_096));
    assertEquals(PeerCodec.decode(PeerCodec.encode(request)), request);
    PeerMessage part = new PeerMessage.SendCatalogPart(new CatalogPart(7, 9, 4, bytes(1, 2, 3)));
    assertEquals(PeerCodec.decode(PeerCodec.encode(part)), part);
  }

  /** Guards against losing a catalog that an earlier release has logged as plain text. */
  @Test
  public void readsCatalogsThatWereLoggedAsText() throws Exception {
    ControlCommand publish = new ControlCommand.PublishCatalog(CATALOG);
    assertEquals(ControlCodec.decodeCommand(ControlCodec.toBytes(publish)), publish);
    Wire.ControlCommand asText =
        Wire.ControlCommand.newBuilder()
            .setPublishCatalog(
                Wire.CatalogDocument.newBuilder().setVersion(7).setText(CATALOG.text()))
            .build();
    assertEquals(ControlCodec.decodeCommand(Bytes.copyOf(asText.toByteArray())), publish);
  }

  private static Bytes bytes(int... values) {
    byte[] content = new byte[values.length];
    for (int i = 0; i < values.length; i++) {
      content[i] = (byte) values[i];
    }
    return Bytes.copyOf(content);
  }
}
