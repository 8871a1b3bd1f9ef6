package org.burdockbay.server.storage;

import static org.burdockbay.server.storage.LogRecords.VOTED;
import static org.burdockbay.server.storage.LogRecords.append;
import static org.burdockbay.server.storage.LogRecords.entries;
import static org.burdockbay.server.storage.LogRecords.persist;
import static org.burdockbay.server.storage.LogRecords.snapshot;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a data folder holds after kills and power losses. */
public class PowerLossTest {

  private static final Path FOLDER = Path.of("/data");

  private ModelDisk disk;

  /** Makes a disk with an empty folder for each test. */
  @BeforeMethod
  public void createDisk() {
    disk = new ModelDisk(1);
    disk.createDurableFolder(FOLDER);
  }

  /** A kill between write and sync, a start that reads the write back, and then a power loss. */
  @Test
  public void keepsEntriesReadBackAfterKill() throws StorageException {
    LogStore killed = open();
    killed.write(List.of(persist(VOTED, entries(1, 5))));
    disk.killAfter(1);
    assertThrows(ModelDisk.ProcessKilled.class, () -> killed.write(List.of(append(6, 6))));
    disk.restart();
    LogStore started = open();
    assertEquals(started.recoveredLog().entries(), entries(1, 6));
    started.write(List.of(append(7, 7)));
    disk.losePower();
    assertEquals(open().recoveredLog().entries(), entries(1, 7));
  }

  /** An earlier one of several unsynced writes is lost, the later ones are not. */
  @Test
  public void truncatesUnsyncedBatchWithHole() throws StorageException {
    for (int operations = 0; operations < 6; operations++) {
      for (int lost = 0; lost < 5; lost++) {
        createDisk();
        LogStore killed = open();
        killed.write(List.of(persist(VOTED, entries(1, 5))));
        disk.killAfter(operations);
        try {
          killed.write(List.of(persist(VOTED, entries(6, 9))));
        } catch (ModelDisk.ProcessKilled e) {
          // The next process goes on with what is left.
        }
        disk.losePowerAndOneWrite(lost);
        List<LogEntry> found = open().recoveredLog().entries();
        assertEquals(found, entries(1, Math.max(5, found.size())));
      }
    }
  }

  /** A synced block reads as zeros; the good records after it show that it was synced. */
  @Test
  public void rejectsHoleInSyncedBatch() throws StorageException, IOException {
    LogStore store = open();
    store.write(List.of(persist(VOTED, entries(1, 2))));
    Path segment = FOLDER.resolve("segment-000000000001");
    int synced = disk.read(segment).length;
    store.write(List.of(persist(VOTED, entries(3, 5))));
    disk.corrupt(segment, synced - 20, new byte[20]);
    StorageException e = expectThrows(StorageException.class, this::open);
    assertEquals(e.fault(), StorageException.Fault.CORRUPT);
  }

  /** A segment is missing in the middle of the log. */
  @Test
  public void rejectsLogWithMissingSegment() throws StorageException {
    open().write(List.of(persist(VOTED, entries(1, 5))));
    open().write(List.of(append(6, 7)));
    open().write(List.of(append(8, 9)));
    disk.delete(FOLDER.resolve("segment-000000000002"));
    StorageException e = expectThrows(StorageException.class, this::open);
    assertEquals(e.fault(), StorageException.Fault.CORRUPT);
  }

  /** Entries that follow a snapshot of another branch are kept. */
  @Test
  public void keepsEntriesAfterReplacedBranch() throws StorageException {
    LogStore store = open();
    store.write(List.of(persist(VOTED, entries(1, 9))));
    store.write(List.of(snapshot(5, 8)));
    store.write(List.of(append(6, 7)));
    assertEquals(open().recoveredLog().entries(), entries(6, 7));
  }

  /** A segment that replaced entries of an older one is read without the older one. */
  @Test
  public void opensSegmentThatTruncatedDeletedSegment() throws StorageException {
    open().write(List.of(persist(VOTED, entries(1, 3))));
    LogStore store = open();
    store.write(
        List.of(
            new RaftEffect.Persist(
                1, Optional.of(VOTED), Optional.empty(), OptionalLong.of(2), entries(2, 7))));
    store.write(List.of(snapshot(6, 1)));
    assertEquals(open().recoveredLog().entries(), entries(7, 7));
  }

  /** A segment whose first write is lost must not stop the store at the next snapshot. */
  @Test
  public void compactsAfterSegmentLostItsContent() throws StorageException {
    open().write(List.of(persist(VOTED, entries(1, 5))));
    disk.killAfter(3);
    assertThrows(ModelDisk.ProcessKilled.class, this::open);
    disk.losePowerKeepingNames();
    LogStore store = open();
    store.write(List.of(append(6, 9)));
    store.write(List.of(snapshot(8, 1)));
    assertEquals(open().recoveredLog().entries(), entries(9, 9));
  }

  /** A sync that succeeds after one that failed proves nothing, so the store takes no more. */
  @Test
  public void rejectsWritesAfterFailedSync() throws StorageException {
    LogStore store = open();
    store.write(List.of(persist(VOTED, entries(1, 5))));
    disk.failNextSync();
    for (int attempt = 0; attempt < 2; attempt++) {
      StorageException e =
          expectThrows(StorageException.class, () -> store.write(List.of(append(6, 7))));
      assertEquals(e.fault(), StorageException.Fault.FAILED);
    }
    disk.losePower();
    assertEquals(open().recoveredLog().entries(), entries(1, 5));
  }

  /** The vote of a voter is gone if the name of its log's folder is. */
  @Test
  public void keepsGroupFolder() throws StorageException {
    try (DataFolder folder = DataFolder.open(disk, FOLDER, "cluster", "a")) {
      new LogStore(disk, folder.groupFolder(1), GroupId.CONTROL)
          .write(List.of(persist(VOTED, entries(1, 5))));
    }
    disk.losePower();
    LogStore store = new LogStore(disk, FOLDER.resolve("group-1"), GroupId.CONTROL);
    assertEquals(store.recoveredLog().hardState(), VOTED);
  }

  /** A kill during the first start must not leave a folder that is refused for ever. */
  @Test
  public void opensFolderAfterKillDuringCreation() throws StorageException {
    for (int operations = 0; operations < 10; operations++) {
      disk = new ModelDisk(operations);
      disk.killAfter(operations);
      try {
        DataFolder.open(disk, FOLDER, "cluster", "a").close();
      } catch (ModelDisk.ProcessKilled e) {
        // The next process goes on with what is left.
      }
      disk.restart();
      long incarnation = openAndReadIncarnation();
      disk.losePower();
      assertEquals(openAndReadIncarnation(), incarnation, operations + " operations");
    }
  }

  /** An epoch that a start has read is known after the next one too. */
  @Test
  public void keepsEpochReadBackAfterKill() throws StorageException {
    openAndReadIncarnation();
    EpochFile.Content epoch = new EpochFile.Content(7, ShardLayout.UNDIVIDED);
    disk.killAfter(4);
    assertThrows(ModelDisk.ProcessKilled.class, () -> new EpochFile(disk, FOLDER).write(epoch));
    disk.restart();
    openAndReadIncarnation();
    assertEquals(new EpochFile(disk, FOLDER).read(), epoch);
    disk.losePower();
    assertEquals(new EpochFile(disk, FOLDER).read(), epoch);
  }

  private long openAndReadIncarnation() throws StorageException {
    try (DataFolder folder = DataFolder.open(disk, FOLDER, "cluster", "a")) {
      return folder.incarnation();
    }
  }

  private LogStore open() throws StorageException {
    return new LogStore(disk, FOLDER, GroupId.CONTROL);
  }
}
