package org.burdockbay.core.catalog;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.lease.LeaseTiming;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests catalog downloads in a simulated fleet with low-bandwidth links. */
public class CatalogDownloadTest {

  private static final int QUEUES = 3_000;
  private static final int SOURCES = 5;
  private static final int ENTRY_HOSTS = 47;
  private static final double FAST_BYTES_PER_MILLI = 125_000;
  private static final double SLOW_BYTES_PER_MILLI = 175;
  private static final long IN_FORCE_TIMEOUT_MILLIS = 3_000;
  private static final double START_MILLIS = 1_000;

  private final List<LinkModel.Host> sources = new ArrayList<>();
  private final List<LinkModel.Host> entryHosts = new ArrayList<>();
  private LinkModel model;

  /** Creates a fleet whose hosts have exchanged heartbeats. */
  @BeforeMethod
  public void setUp() {
    model = new LinkModel();
    sources.clear();
    entryHosts.clear();
    for (int i = 0; i < SOURCES; i++) {
      sources.add(model.addHost(FAST_BYTES_PER_MILLI));
    }
    for (int i = 0; i < ENTRY_HOSTS; i++) {
      entryHosts.add(model.addHost(SLOW_BYTES_PER_MILLI));
    }
    model.runUntil(START_MILLIS);
  }

  /** Guards against a catalog delaying heartbeats until hosts are considered lost. */
  @Test
  public void reachesEveryHostInTimeWithoutDelayingHeartbeats() {
    publish(1, START_MILLIS);
    assertInForce(1, START_MILLIS);
  }

  /** Guards against downloads that restart with each new version and never complete. */
  @Test
  public void reachesEveryHostDespiteNewerVersions() {
    for (int version = 1; version <= 3; version++) {
      publish(version, START_MILLIS + (version - 1) * 400);
    }
    assertInForce(3, START_MILLIS + 800);
  }

  /** Guards against saturated links when restarted hosts download from each other. */
  @Test
  public void reachesHostsThatRestartTogether() {
    publish(1, START_MILLIS);
    double restarted = START_MILLIS + 200;
    model.schedule(restarted, () -> entryHosts.forEach(LinkModel.Host::restart));
    assertInForce(1, restarted);
  }

  /** Guards against lost hosts when the transfer takes longer than the heartbeat timeout. */
  @Test
  public void doesNotDelayHeartbeatsWithVeryLargeCatalog() {
    CompressedCatalog large = CompressedCatalog.of(1, text(1, 5 * QUEUES));
    model.schedule(START_MILLIS, () -> sources.forEach(source -> source.publish(large)));
    model.runUntil(START_MILLIS + 4 * IN_FORCE_TIMEOUT_MILLIS);
    assertEquals(entryHosts.stream().filter(host -> host.version() < 1).count(), 0);
    assertNoHostIsLost();
  }

  /** Guards against a single source saturating its low-bandwidth link with parts. */
  @Test
  public void doesNotDelayHeartbeatsOfOnlySource() {
    CompressedCatalog catalog = CompressedCatalog.of(1, text(1, QUEUES));
    model.schedule(START_MILLIS, () -> entryHosts.getFirst().publish(catalog));
    model.runUntil(START_MILLIS + 4 * IN_FORCE_TIMEOUT_MILLIS);
    assertNoHostIsLost();
  }

  /** Guards against downloads that restart from the beginning when their source is lost. */
  @Test
  public void continuesFromAnotherHost() {
    CatalogSource source = new CatalogSource();
    CompressedCatalog catalog = CompressedCatalog.of(1, text(1, QUEUES));
    source.add(catalog);
    CatalogDownload download = new CatalogDownload();
    CatalogPart.Request first = download.handleAnnouncement(1, 0).orElseThrow();
    CatalogPart part = source.servePart("a", first, 0).orElseThrow();
    assertTrue(download.handlePart(part, 1) instanceof CatalogDownload.Result.Continue);
    assertTrue(download.handleAnnouncement(1, CatalogDownload.PART_TIMEOUT_MILLIS).isEmpty());
    CatalogPart.Request resumed =
        download.handleAnnouncement(1, CatalogDownload.PART_TIMEOUT_MILLIS + 1).orElseThrow();
    assertEquals(resumed.offset(), CatalogSource.PART_BYTES);
  }

  /** Guards against putting a corrupt or truncated catalog in force. */
  @Test
  public void rejectsCorruptData() {
    byte[] data = CompressedCatalog.of(1, text(1, QUEUES)).data().toArray();
    data[data.length / 2] ^= 1;
    CompressedCatalog corrupt = new CompressedCatalog(1, Bytes.copyOf(data));
    assertThrows(CatalogException.class, corrupt::text);
    CompressedCatalog truncated =
        new CompressedCatalog(1, Bytes.copyOf(data).slice(0, data.length / 2));
    assertThrows(CatalogException.class, truncated::text);
  }

  private void publish(long version, double time) {
    CompressedCatalog catalog = CompressedCatalog.of(version, text(version, QUEUES));
    model.schedule(time, () -> sources.forEach(source -> source.publish(catalog)));
  }

  private void assertInForce(long version, double publishedAt) {
    model.runUntil(publishedAt + IN_FORCE_TIMEOUT_MILLIS);
    long missing = entryHosts.stream().filter(host -> host.version() < version).count();
    double last = entryHosts.stream().mapToDouble(host -> host.inForceAt).max().orElseThrow();
    assertEquals(
        missing,
        0,
        "hosts without the catalog; last in force after " + (last - publishedAt) + " ms");
    assertNoHostIsLost();
  }

  private void assertNoHostIsLost() {
    double longest = model.longestHeartbeatInterval();
    assertTrue(
        longest < LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS,
        "longest interval between heartbeats: " + longest + " ms");
  }

  private static String text(long version, int queues) {
    Random random = new Random(1);
    StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
    for (int i = 0; i < queues; i++) {
      String name = Integer.toString(random.nextInt(Integer.MAX_VALUE), 36);
      String prefix = Integer.toString(random.nextInt(Integer.MAX_VALUE), 36);
      text.append(i == 0 ? "" : ",")
          .append("{\"name\":\"r-" + name + "\",\"host\":\"h" + i % 7 + ".example\"")
          .append(",\"path_prefix\":\"/" + prefix + "/\",\"kind\":\"unsafe\",\"timeout_ms\":1500")
          .append(",\"target_latency_ms\":60,\"priority\":0,\"service\":\"s\"")
          .append(",\"max_attempts\":2,\"stretch\":1.6}");
    }
    return text.append("]}").toString();
  }
}
