package org.burdockbay.core.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.testng.annotations.Test;

/** Tests parsing and validation of the configuration document. */
public class DispatchConfigurationTest {

  private static final String VALID =
      """
      # comment
      [service desk]
      queue-limit = 5
      [job check]
      service = desk
      idempotent = true
      [caller hamburg]
      credential-sha256 = %s
      services = desk
      """
          .formatted("0".repeat(64));

  /** Guards against values that are misread and missing keys without their default values. */
  @Test
  public void readsValuesAndDefaults() throws ConfigurationException {
    DispatchConfiguration configuration = DispatchConfiguration.parse("x.ini", 3, VALID);
    assertEquals(configuration.version(), 3);
    assertEquals(configuration.services().get("desk").queueLimit(), 5);
    assertTrue(configuration.job("check").orElseThrow().idempotent());
    assertEquals(configuration.job("check").orElseThrow().maxTasks(), 120);
    assertEquals(configuration.caller("hamburg").orElseThrow().services(), List.of("desk"));
  }

  /** Guards against reporting only the first problem, or problems without file, line and field. */
  @Test
  public void reportsEveryProblemWithItsLine() {
    String text =
        """
        [service desk]
        queue-limit = none
        colour = red
        [job check]
        service = desk
        retries = 99
        [jobs other]
        service = desk
        """;
    ConfigurationException e =
        expectThrows(
            ConfigurationException.class, () -> DispatchConfiguration.parse("x.ini", 1, text));
    assertEquals(
        e.problems().stream().map(Problem::line).toList(), List.of(2, 3, 6, 7), e.getMessage());
    assertTrue(e.getMessage().contains("x.ini:2: [service desk] queue-limit"), e.getMessage());
    assertTrue(e.getMessage().contains("a whole number from 1 to 1000000"), e.getMessage());
  }

  /** Guards against duplicate keys and sections, which the INI library merges silently. */
  @Test
  public void rejectsDuplicateKeysAndSections() {
    String twice = VALID + "services = other\n[service desk]\n";
    ConfigurationException e =
        expectThrows(
            ConfigurationException.class, () -> DispatchConfiguration.parse("x.ini", 1, twice));
    assertTrue(e.getMessage().contains("x.ini:10: [caller hamburg] services"), e.getMessage());
    assertTrue(e.getMessage().contains("x.ini:11: [service desk]"), e.getMessage());
  }

  /** Guards against references to undefined services, which must be reported with their line. */
  @Test
  public void rejectsUnknownReferences() {
    String text = VALID.replace("service = desk", "service = dsk");
    ConfigurationException e =
        expectThrows(
            ConfigurationException.class, () -> DispatchConfiguration.parse("x.ini", 1, text));
    assertTrue(e.getMessage().contains("x.ini:5: [job check] service"), e.getMessage());
  }
}
