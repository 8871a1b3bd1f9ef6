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

/** Tests reading and writing of {@link EpochFile}. */
public class EpochFileTest {

  private Path folder;

  /** Creates an empty folder for each test. */
  @BeforeMethod
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("epoch");
  }

  /** Deletes the folder. */
  @AfterMethod
  public void removeFolder() throws IOException {
    Files.deleteIfExists(folder.resolve("epoch"));
    Files.delete(folder);
  }

  /** A missing file must read as epoch 0 and not as an error. */
  @Test
  public void returnsNoEpochWithoutFile() throws StorageException {
    assertEquals(new EpochFile(folder).read(), EpochFile.Content.NONE);
    assertEquals(EpochFile.Content.NONE.epoch(), 0);
  }

  /** A restarted process must read the content that was written last. */
  @Test
  public void keepsTheLastEpochAcrossRestarts() throws StorageException {
    EpochFile.Content last = new EpochFile.Content(1L << 52, new ShardLayout(4));
    new EpochFile(folder).write(new EpochFile.Content(7, ShardLayout.UNDIVIDED));
    new EpochFile(folder).write(last);
    assertEquals(new EpochFile(folder).read(), last);
  }

  /** After an upgrade, a file of an earlier version without a layout must stay readable. */
  @Test
  public void readsEpochsSavedWithoutLayout() throws IOException, StorageException {
    byte[] epoch = ByteBuffer.allocate(Long.BYTES).putLong(1L << 52).array();
    RecordFile.writeSingleRecord(FileDisk.INSTANCE, folder.resolve("epoch"), epoch);
    assertEquals(
        new EpochFile(folder).read(), new EpochFile.Content(1L << 52, ShardLayout.UNDIVIDED));
  }

  /** An unreadable file must not be treated as a missing one. */
  @Test
  public void rejectsUnreadableContent() throws IOException {
    Files.writeString(folder.resolve("epoch"), "not a record");
    assertThrows(StorageException.class, () -> new EpochFile(folder).read());
  }
}
