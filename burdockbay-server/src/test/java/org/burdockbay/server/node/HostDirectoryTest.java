package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.burdockbay.core.membership.HostDescriptor;
import org.testng.annotations.Test;

/** Tests a {@link HostDirectory}. */
public class HostDirectoryTest {

  /**
   * Guards against a host that reports an old contact because a submission waited in its work lane:
   * the dispatcher would drop its work.
   */
  @Test
  public void keepsLatestContact() {
    HostDirectory directory = new HostDirectory(descriptor("10.0.0.1"), 0);
    directory.add(descriptor("10.0.0.2"), 0);
    directory.recordContact("10.0.0.2", 1_000);
    directory.recordContact("10.0.0.2", 400);
    assertEquals(directory.lastContactAgeMillis("10.0.0.2", 1_020), Optional.of(20L));
  }

  /** Guards against hosts of a failure domain that are forgotten during a partition of minutes. */
  @Test
  public void keepsHostsThatAreSilentForMinutes() {
    HostDirectory directory = new HostDirectory(descriptor("10.0.0.1"), 0);
    directory.add(descriptor("10.0.0.2"), 0);
    assertEquals(directory.removeSilentHosts(30 * 60_000), List.of());
    assertEquals(directory.removeSilentHosts(61 * 60_000), List.of(descriptor("10.0.0.2")));
    assertEquals(directory.otherHosts(), List.of());
  }

  /** Guards against voters that are replaced because their hosts start a little later. */
  @Test
  public void countsUnknownHostAsSilentSinceStart() {
    HostDirectory directory = new HostDirectory(descriptor("10.0.0.1"), 5_000);
    assertEquals(directory.silenceMillis("10.0.0.2", 5_300), 300);
    directory.add(descriptor("10.0.0.2"), 6_000);
    assertEquals(directory.silenceMillis("10.0.0.2", 6_500), 500);
  }

  private static HostDescriptor descriptor(String host) {
    return new HostDescriptor(host, "entry", "north", host + ":1");
  }
}
