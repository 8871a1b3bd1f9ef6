package org.burdockbay.server.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.core.configuration.ConfigurationException;
import org.testng.annotations.Test;

/** Tests the parsing and validation of {@link HostSettings}. */
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

  /** Voters and domains include this host as well as its peers. */
  @Test
  public void readsHostAndPeers() throws ConfigurationException {
    HostSettings settings = HostSettings.parse("a.ini", VALID);
    assertEquals(settings.voterIds(), List.of("a", "b"));
    assertEquals(settings.domainByHost().get("b"), "south");
  }

  /** Two hosts with the same address are reported with the line of the second one. */
  @Test
  public void rejectsDuplicateAddresses() {
    String text = VALID.replace("7003", "7001");
    ConfigurationException e =
        expectThrows(ConfigurationException.class, () -> HostSettings.parse("a.ini", text));
    assertTrue(e.getMessage().startsWith("a.ini:13: [peer b] address"), e.getMessage());
  }

  /** Guards against a tolerance that the voters don't bear and nobody notices. */
  @Test
  public void rejectsToleranceThatVotersDoNotBear() throws ConfigurationException {
    String hosts = VALID.replace("[peer b]", "tolerated-hosts = 1\n[peer b]");
    ConfigurationException tooFew =
        expectThrows(ConfigurationException.class, () -> HostSettings.parse("a.ini", hosts));
    assertEquals(
        tooFew.getMessage(),
        "a.ini:11: [host] tolerated-hosts: is 1, found 2 voters, expected at least 3");
    String domains =
        VALID.replace("[peer b]", "tolerated-domains = 1\n[peer b]")
            + "[peer c]\ndomain = south\naddress = 127.0.0.1:7005\nvoter = true\n";
    ConfigurationException crowded =
        expectThrows(ConfigurationException.class, () -> HostSettings.parse("a.ini", domains));
    assertEquals(
        crowded.getMessage(),
        "a.ini:11: [host] tolerated-domains: is 1, found voters in the domains [north, south,"
            + " south], expected a majority outside any 1 of them");
    assertEquals(HostSettings.parse("a.ini", VALID).faultTolerance(), FaultTolerance.DEFAULT);
  }

  /** A missing key is reported with its section. */
  @Test
  public void reportsMissingKeys() {
    String text = VALID.replace("secret = 0123456789abcdef\n", "");
    ConfigurationException e =
        expectThrows(ConfigurationException.class, () -> HostSettings.parse("a.ini", text));
    assertTrue(e.getMessage().startsWith("a.ini:1: [host]: the key secret"), e.getMessage());
  }
}
