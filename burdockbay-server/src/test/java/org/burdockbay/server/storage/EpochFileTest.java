package org.burdockbay.server.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What an {@link EpochFile} keeps. */
public class EpochFileTest {

  private Path folder;

  /** Makes a folder. */
  @BeforeMethod
  public void createFolder() throws IOException {
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
  public void returnsNoEpochWithoutFile() throws StorageException {
    assertEquals(new EpochFile(folder).read(), EpochFile.Content.NONE);
    assertEquals(EpochFile.Content.NONE.epoch(), 0);
  }

  /** The process is killed and starts again: it knows what it has saved last. */
  @Test
  public void keepsTheLastEpochAcrossRestarts() throws StorageException {
    EpochFile.Content last = new EpochFile.Content(1L << 52, new ShardLayout(4));
    new EpochFile(folder).write(new EpochFile.Content(7, ShardLayout.UNDIVIDED));
    new EpochFile(folder).write(last);
    assertEquals(new EpochFile(folder).read(), last);
  }

  /** A file that an earlier version has left is read after an upgrade. */
  @Test
  public void readsEpochsSavedWithoutLayout() throws IOException, StorageException {
    byte[] epoch = ByteBuffer.allocate(Long.BYTES).putLong(1L << 52).array();
    RecordFile.writeSingleRecord(FileDisk.INSTANCE, folder.resolve("epoch"), epoch);
    assertEquals(
        new EpochFile(folder).read(), new EpochFile.Content(1L << 52, ShardLayout.UNDIVIDED));
  }

  /** A torn or foreign file is told apart from none. */
  @Test
  public void rejectsUnreadableContent() throws IOException {
    Files.writeString(folder.resolve("epoch"), "not a record");
    assertThrows(StorageException.class, () -> new EpochFile(folder).read());
  }
}
