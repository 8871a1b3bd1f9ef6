package org.burdockbay.server.host;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.membership.HostStatus;
import org.testng.annotations.Test;

/** Tests {@link StorageHosts}. */
public class StorageHostsTest {

  private static final long FAILED = 0;

  private final StorageHosts hosts = new StorageHosts();

  /** Guards against a voter that is replaced although its disk refuses writes for a moment only. */
  @Test
  public void reportsNoFailureOfHostWhoseStorageWorksAgain() {
    report(1, 0);
    report(FAILED, 100);
    assertEquals(hosts.failureMillis("a", 600), 500);
    report(1, 600);
    assertEquals(hosts.failureMillis("a", 600 + StorageHosts.RECOVERY_MILLIS), 0);
    report(1, 600 + StorageHosts.RECOVERY_MILLIS);
    report(FAILED, 10_000);
    assertEquals(hosts.failureMillis("a", 10_100), 100);
  }

  /** Guards against a voter that is never replaced because its disk accepts some writes. */
  @Test
  public void countsRepeatedFailuresAsOne() {
    report(FAILED, 100);
    report(1, 600);
    report(1, 700);
    report(FAILED, 800);
    assertEquals(hosts.failureMillis("a", 900), 800);
    report(1, 1_000);
    report(FAILED, 1_100);
    assertEquals(hosts.failureMillis("a", 1_200), 1_100);
  }

  private void report(long storageIncarnation, long now) {
    HostStatus status =
        new HostStatus(
            "a", "east", 1, storageIncarnation, 0, 0, 0, false, "", new DomainLoad(0, 0));
    hosts.update(List.of(status), now);
  }
}
