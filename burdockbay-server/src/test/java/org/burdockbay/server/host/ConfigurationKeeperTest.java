package org.burdockbay.server.host;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.burdockbay.server.logging.EventLog;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationKeeper}. */
public class ConfigurationKeeperTest {

  /**
   * Guards against reverting to an older version, offered by a host that reconnects after a network
   * partition or by a late message.
   */
  @Test
  public void neverRevertsToOlderVersions() {
    ConfigurationKeeper keeper = new ConfigurationKeeper(new EventLog("test"));
    List<Long> notifiedVersions = new ArrayList<>();
    keeper.offer(2, "[service new]\n", changed -> notifiedVersions.add(changed.version()));
    keeper.offer(1, "[service old]\n", changed -> notifiedVersions.add(changed.version()));
    keeper.offer(2, "[service again]\n", changed -> notifiedVersions.add(changed.version()));
    assertEquals(notifiedVersions, List.of(2L));
    assertEquals(keeper.current().services().keySet(), java.util.Set.of("new"));
  }

  /** Guards against losing the configuration when this release can't parse a new version. */
  @Test
  public void keepsTheOldVersionWhenTheNewOneIsUnreadable() {
    ConfigurationKeeper keeper = new ConfigurationKeeper(new EventLog("test"));
    keeper.offer(1, "[service desk]\n", changed -> {});
    keeper.offer(2, "[later-kind of section]\n", changed -> {});
    assertEquals(keeper.current().version(), 1);
  }
}
