package org.burdockbay.server.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What an {@link EpochFile} keeps. */
public class EpochFileTest {

  private Path folder;

  /** Makes a folder. */
  @BeforeMethod
  public void makeFolder() throws IOException {
    folder = Files.createTempDirectory("epoch");
  }

  /** Removes it. */
  @AfterMethod
  public void removeFolder() throws IOException {
    Files.deleteIfExists(folder.resolve("epoch"));
    Files.delete(folder);
  }

  /** A host that never saw an epoch knows none. */
  @Test
  public void knowsNoEpochAtFirst() throws StorageException {
    assertEquals(new EpochFile(folder).read(), 0);
  }

  /** The process is killed and starts again: it knows the last epoch that it has saved. */
  @Test
  public void keepsTheLastEpoch() throws StorageException {
    new EpochFile(folder).write(7);
    new EpochFile(folder).write(1L << 52);
    assertEquals(new EpochFile(folder).read(), 1L << 52);
  }

  /** A torn or foreign file is told apart from none. */
  @Test
  public void complainsOfUnreadableContent() throws IOException {
    Files.writeString(folder.resolve("epoch"), "not a record");
    assertThrows(StorageException.class, () -> new EpochFile(folder).read());
  }
}
