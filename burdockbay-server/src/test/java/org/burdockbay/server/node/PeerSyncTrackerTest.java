package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests {@link PeerSyncTracker}. */
public class PeerSyncTrackerTest {

  private static final List<String> HOSTS =
      IntStream.range(0, 50).mapToObj(i -> "10.0.0." + i).toList();

  /** Guards against saturating the link of a restarted host with full syncs from all hosts. */
  @Test
  public void limitsFullSyncSendersAfterRestart() {
    for (String restarted : HOSTS) {
      long senders =
          HOSTS.stream()
              .filter(host -> !host.equals(restarted))
              .filter(host -> new PeerSyncTracker(host, false).sendsFullSync(restarted, HOSTS))
              .count();
      assertEquals(senders, PeerSyncTracker.FULL_SYNC_SENDERS);
    }
    assertTrue(new PeerSyncTracker(HOSTS.getLast(), true).sendsFullSync(HOSTS.getFirst(), HOSTS));
  }

  /** Guards against a full sync after a mere reconnection. */
  @Test
  public void resendsOnlyNewsSinceTheLastContact() {
    PeerSyncTracker tracker = new PeerSyncTracker("a", true);
    assertTrue(tracker.connected("b", 1, 1_000).isEmpty());
    tracker.contactReported("b", 1, OptionalLong.of(100), 5_000);
    assertEquals(tracker.connected("b", 1, 6_000), OptionalLong.of(4_400));
  }

  /** Guards against missing upstreams on a host that restarts or disconnects during a full sync. */
  @Test
  public void repeatsFullSyncUntilItHasArrived() {
    PeerSyncTracker tracker = new PeerSyncTracker("a", true);
    tracker.connected("b", 1, 1_000);
    tracker.contactReported("b", 1, OptionalLong.of(50), 1_100);
    assertTrue(tracker.connected("b", 1, 1_200).isEmpty());
    tracker.contactReported("b", 1, OptionalLong.of(50), 5_000);
    assertTrue(tracker.connected("b", 2, 6_000).isEmpty());
  }
}
