package org.burdockbay.core.catalog;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests validation and lookups of a {@link Catalog}. */
public class CatalogTest {

  /** Guards against matching a shorter prefix and against case-sensitive host names. */
  @Test
  public void findsQueueWithLongestPrefix() throws Exception {
    Catalog catalog =
        Catalog.of(
            1, List.of(queue("short", "/a/", 100), queue("long", "/a/b/", 100)), Set.of("desk"));
    assertEquals(catalog.find("Shop.Example", "/a/b/x").orElseThrow().name(), "long");
    assertEquals(catalog.find("shop.example", "/a/x").orElseThrow().name(), "short");
    assertTrue(catalog.find("shop.example", "/c").isEmpty());
    assertTrue(catalog.find("other.example", "/a/x").isEmpty());
  }

  /** Guards against putting a catalog with an invalid queue in force, in whole or in part. */
  @Test
  public void rejectsInvalidQueues() {
    assertRejected("names unknown service", List.of(queue("q", "/a/", 100)), Set.of("other"));
    assertRejected("has timeout 0", List.of(queue("q", "/a/", 0)), Set.of("desk"));
    assertRejected(
        "same host and prefix",
        List.of(queue("q", "/a/", 100), queue("r", "/a/", 100)),
        Set.of("desk"));
  }

  private static void assertRejected(
      String expectedMessage, List<QueueRule> queues, Set<String> services) {
    CatalogException exception =
        expectThrows(CatalogException.class, () -> Catalog.of(1, queues, services));
    assertTrue(exception.getMessage().contains(expectedMessage), exception.getMessage());
  }

  private static QueueRule queue(String name, String prefix, long timeout) {
    return new QueueRule(name, "shop.example", prefix, "desk", 0, 1, 1.5, 60, timeout, false);
  }
}
