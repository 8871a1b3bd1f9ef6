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

/** Tests the durability of a data folder after process kills and power losses. */
public class PowerLossTest {

  private static final Path FOLDER = Path.of("/data");

  private ModelDisk disk;

  /** Creates a disk with an empty folder for each test. */
  @BeforeMethod
  public void createDisk() {
    disk = new ModelDisk(1);
    disk.createDurableFolder(FOLDER);
  }

  /**
   * A process is killed between write and sync, and the next one recovers the entry. A power loss
   * must not remove that entry again.
   */
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

  /** A power loss that loses one of several unsynced writes must not look like corruption. */
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
          // The next process continues with the remaining files.
        }
        disk.losePowerAndOneWrite(lost);
        List<LogEntry> found = open().recoveredLog().entries();
        assertEquals(found, entries(1, Math.max(5, found.size())));
      }
    }
  }

  /**
   * A synced block reads as zeros. Valid records after it show that it is no torn tail, so the log
   * must be refused.
   */
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

  /** A log without one of its middle segments must be refused. */
  @Test
  public void rejectsLogWithMissingSegment() throws StorageException, IOException {
    open().write(List.of(persist(VOTED, entries(1, 5))));
    open().write(List.of(append(6, 7)));
    open().write(List.of(append(8, 9)));
    disk.delete(FOLDER.resolve("segment-000000000002"));
    StorageException e = expectThrows(StorageException.class, this::open);
    assertEquals(e.fault(), StorageException.Fault.CORRUPT);
  }

  /** Entries appended after a snapshot that replaced a conflicting log must be kept. */
  @Test
  public void keepsEntriesAfterReplacedBranch() throws StorageException {
    LogStore store = open();
    store.write(List.of(persist(VOTED, entries(1, 9))));
    store.write(List.of(snapshot(5, 8)));
    store.write(List.of(append(6, 7)));
    assertEquals(open().recoveredLog().entries(), entries(6, 7));
  }

  /** A segment that truncates entries of an older one must be readable without the older one. */
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

  /** After a power loss that emptied a segment, the next snapshot must not fail. */
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

  /** A sync that succeeds after a failed one proves nothing, so the store must refuse writes. */
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

  /** Unless the directory entry of its log's folder is synced, a voter may lose its vote. */
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

  /** A kill during the first start must not leave a folder that can never be opened. */
  @Test
  public void opensFolderAfterKillDuringCreation() throws StorageException {
    for (int operations = 0; operations < 10; operations++) {
      disk = new ModelDisk(operations);
      disk.killAfter(operations);
      try {
        DataFolder.open(disk, FOLDER, "cluster", "a").close();
      } catch (ModelDisk.ProcessKilled e) {
        // The next process continues with the remaining files.
      }
      disk.restart();
      long incarnation = openAndReadIncarnation();
      disk.losePower();
      assertEquals(openAndReadIncarnation(), incarnation, operations + " operations");
    }
  }

  /** An epoch that a process has read must not be lost by a later power loss. */
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
