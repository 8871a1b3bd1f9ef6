package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogPart;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.server.logging.EventLog;
import org.testng.annotations.Test;

/** Tests {@link CatalogKeeper}. */
public class CatalogKeeperTest {

  private static final CompressedCatalog CATALOG = CompressedCatalog.of(1, "{}");

  private final AtomicLong now = new AtomicLong(1_000);
  private final CatalogKeeper keeper =
      new CatalogKeeper(
          text -> Catalog.of(1, List.of(), Set.of()),
          Runnable::run,
          Runnable::run,
          () -> {},
          new EventLog("test"),
          now::get);

  /** Guards against never requesting a version again after its data arrived corrupt. */
  @Test
  public void downloadsAgainAfterCorruptData() {
    assertTrue(keeper.handleAnnouncement(1, now.get()).isPresent());
    byte[] corrupt = CATALOG.data().toArray();
    corrupt[corrupt.length - 1] ^= 1;
    keeper.handlePart(part(Bytes.copyOf(corrupt)), "a", now.get());
    assertEquals(keeper.current().version(), 0);
    assertFalse(keeper.handleAnnouncement(1, now.get()).isPresent());
    now.addAndGet(CatalogKeeper.RETRY_INTERVAL_MILLIS);
    assertTrue(keeper.handleAnnouncement(1, now.get()).isPresent());
    keeper.handlePart(part(CATALOG.data()), "b", now.get());
    assertEquals(keeper.current().version(), 1);
  }

  private static CatalogPart part(Bytes data) {
    return new CatalogPart(1, data.size(), 0, data);
  }
}
