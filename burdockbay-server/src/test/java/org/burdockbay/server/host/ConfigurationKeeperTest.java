package org.burdockbay.server.host;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.burdockbay.server.logging.EventLog;
import org.testng.annotations.Test;

/** The configuration in force never goes back. */
public class ConfigurationKeeperTest {

  /**
   * A host that was cut off returns and offers the version that it had, or a message arrives late.
   * The newer version stays in force and nobody is told of the old one.
   */
  @Test
  public void neverRevertsToOlderVersions() {
    ConfigurationKeeper keeper = new ConfigurationKeeper(new EventLog("test"));
    List<Long> told = new ArrayList<>();
    keeper.offer(2, "[service new]\n", changed -> told.add(changed.version()));
    keeper.offer(1, "[service old]\n", changed -> told.add(changed.version()));
    keeper.offer(2, "[service again]\n", changed -> told.add(changed.version()));
    assertEquals(told, List.of(2L));
    assertEquals(keeper.current().services().keySet(), java.util.Set.of("new"));
  }

  /** A version that this release can't read leaves the one before in force. */
  @Test
  public void keepsTheOldVersionWhenTheNewOneIsUnreadable() {
    ConfigurationKeeper keeper = new ConfigurationKeeper(new EventLog("test"));
    keeper.offer(1, "[service desk]\n", changed -> {});
    keeper.offer(2, "[later-kind of section]\n", changed -> {});
    assertEquals(keeper.current().version(), 1);
  }
}
