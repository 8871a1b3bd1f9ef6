package org.burdockbay.server.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.burdockbay.core.configuration.ConfigurationException;
import org.testng.annotations.Test;

/** Validation of a host's settings. */
public class HostSettingsTest {

  private static final String VALID =
      """
      [host]
      id = a
      domain = north
      cluster = test
      secret = 0123456789abcdef
      peer-address = 127.0.0.1:7001
      http-address = 127.0.0.1:7002
      operator-token = 0123456789abcdef
      runner-token = 0123456789abcdef
      data-folder = data
      [peer b]
      domain = south
      address = 127.0.0.1:7003
      voter = true
      """;

  /** Valid settings give the voters and domains of all hosts. */
  @Test
  public void readsHostAndPeers() throws ConfigurationException {
    HostSettings settings = HostSettings.parse("a.ini", VALID);
    assertEquals(settings.voterIds(), List.of("a", "b"));
    assertEquals(settings.domainByHost().get("b"), "south");
  }

  /** An address that two hosts share is named with its line. */
  @Test
  public void rejectsDuplicateAddresses() {
    String text = VALID.replace("7003", "7001");
    ConfigurationException e =
        expectThrows(ConfigurationException.class, () -> HostSettings.parse("a.ini", text));
    assertTrue(e.getMessage().startsWith("a.ini:13: [peer b] address"), e.getMessage());
  }

  /** Missing keys name the section that lacks them. */
  @Test
  public void reportsMissingKeys() {
    String text = VALID.replace("secret = 0123456789abcdef\n", "");
    ConfigurationException e =
        expectThrows(ConfigurationException.class, () -> HostSettings.parse("a.ini", text));
    assertTrue(e.getMessage().startsWith("a.ini:1: [host]: the key secret"), e.getMessage());
  }
}
