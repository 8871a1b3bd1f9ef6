package org.burdockbay.server.storage;

import static org.burdockbay.server.storage.LogRecords.VOTED;
import static org.burdockbay.server.storage.LogRecords.append;
import static org.burdockbay.server.storage.LogRecords.entries;
import static org.burdockbay.server.storage.LogRecords.persist;
import static org.burdockbay.server.storage.LogRecords.snapshot;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.server.storage.ModelDisk.Refusal;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a data folder on a disk that refuses operations. */
public class RefusedOperationsTest {

  private static final Path FOLDER = Path.of("/data");
  private static final Path LOG_FOLDER = FOLDER.resolve("group-0");
  private static final List<VoterId> VOTERS =
      List.of(new VoterId("a", 1), new VoterId("b", 1), new VoterId("c", 1));

  private ModelDisk disk;

  /** Creates a disk with an empty folder for each test. */
  @BeforeMethod
  public void createDisk() {
    disk = new ModelDisk(1);
    disk.createDurableFolder(FOLDER);
  }

  /** Guards against bytes of a failed sync that the next process takes for durable. */
  @Test
  public void keepsEntriesReadBackAfterFailedSyncAndKill() throws StorageException {
    LogStore killed = openLog();
    killed.write(List.of(persist(VOTED, entries(1, 5))));
    disk.failNextSync();
    assertThrows(StorageException.class, () -> killed.write(List.of(append(6, 7))));
    LogStore started = openLog();
    assertEquals(started.recoveredLog().entries(), entries(1, 7));
    started.write(List.of(append(8, 8)));
    disk.losePower();
    assertEquals(openLog().recoveredLog().entries(), entries(1, 8));
  }

  /** Guards against files that accumulate with each attempt to open the log. */
  @Test
  public void addsNoFilesWithRefusedAttempts() throws StorageException {
    LogStore store = openLog();
    store.write(List.of(persist(VOTED, entries(1, 5))));
    for (int failure = 0; failure < 20; failure++) {
      disk.failNextSync();
      LogStore failed = store;
      assertThrows(StorageException.class, () -> failed.write(List.of(append(6, 7))));
      disk.refuse(EnumSet.of(Refusal.FOLDER_SYNC, Refusal.REMOVAL), 10);
      for (int attempt = 0; attempt < 10; attempt++) {
        assertThrows(StorageException.class, failed::reopen);
      }
      store = failed.reopen();
      assertEquals(store.recoveredLog().entries(), entries(1, 5));
    }
    assertTrue(disk.list(FOLDER).size() <= 4, disk.list(FOLDER).toString());
  }

  /** Guards against a voter that is out because obsolete files can't be removed. */
  @Test
  public void acceptsWritesWhileRemovalsAreRefused() throws StorageException {
    LogStore store = openLog();
    store.write(List.of(persist(VOTED, entries(1, 5))));
    disk.refuse(EnumSet.of(Refusal.REMOVAL), Integer.MAX_VALUE);
    store.write(List.of(snapshot(5, 1), append(6, 7)));
    disk.acceptAll();
    store.write(List.of(snapshot(7, 1)));
    assertEquals(openLog().recoveredLog().snapshot().orElseThrow().index(), 7);
    assertTrue(disk.list(FOLDER).size() <= 3, disk.list(FOLDER).toString());
  }

  /** Guards against a folder that can't be opened after it was set aside in part. */
  @Test
  public void opensFolderThatWasSetAsideInPart() throws StorageException {
    for (Refusal refusal : Refusal.values()) {
      for (int accepted = 0; accepted < 8; accepted++) {
        createDisk();
        try (DataFolder folder = DataFolder.open(disk, FOLDER, "cluster", "a")) {
          new LogStore(disk, folder.groupFolder(0), GroupId.CONTROL)
              .write(List.of(persist(VOTED, entries(1, 5))));
        }
        disk.refuseAfter(accepted, EnumSet.of(refusal), 1);
        trySetAside();
        disk.acceptAll();
        if (accepted % 2 == 0) {
          DataFolder.setAside(disk, FOLDER);
        }
        openAndReadIncarnation();
        DataFolder.setAside(disk, FOLDER);
        disk.losePower();
        try (DataFolder folder = DataFolder.open(disk, FOLDER, "cluster", "a")) {
          LogStore store = new LogStore(disk, folder.groupFolder(0), GroupId.CONTROL);
          assertEquals(store.recoveredLog(), RecoveredLog.EMPTY);
        }
      }
    }
  }

  /** Guards against a folder that can't be opened after a power loss while it was set aside. */
  @Test
  public void opensFolderAfterPowerLossDuringSetAside() throws StorageException {
    for (int run = 0; run < 200; run++) {
      disk = new ModelDisk(run);
      disk.createDurableFolder(FOLDER);
      try (DataFolder folder = DataFolder.open(disk, FOLDER, "cluster", "a")) {
        new LogStore(disk, folder.groupFolder(0), GroupId.CONTROL)
            .write(List.of(persist(VOTED, entries(1, 5))));
      }
      final long incarnation = openAndReadIncarnation();
      disk.killAfter(run % 12);
      try {
        DataFolder.setAside(disk, FOLDER);
      } catch (ModelDisk.ProcessKilled e) {
        // The next process continues with the remaining files.
      }
      disk.losePowerAtRandom();
      boolean sameMember = openAndReadIncarnation() == incarnation;
      LogStore store = new LogStore(disk, LOG_FOLDER, GroupId.CONTROL);
      assertEquals(store.recoveredLog().entries(), sameMember ? entries(1, 5) : List.of());
    }
  }

  private long openAndReadIncarnation() throws StorageException {
    try (DataFolder folder = DataFolder.open(disk, FOLDER, "cluster", "a")) {
      return folder.incarnation();
    }
  }

  private void trySetAside() {
    try {
      DataFolder.setAside(disk, FOLDER);
    } catch (StorageException e) {
      assertEquals(e.fault(), StorageException.Fault.FAILED);
    }
  }

  /** Guards against an initial voter whose log is missing for good after a refusal. */
  @Test
  public void completesInterruptedCreationOfInitialVoter() throws StorageException {
    for (Refusal refusal : Refusal.values()) {
      for (int accepted = 0; accepted < 12; accepted++) {
        createDisk();
        disk.refuseAfter(accepted, EnumSet.of(refusal), 1);
        tryBootstrap();
        disk.acceptAll();
        tryBootstrap();
        assertFalse(bootstrap());
        RecoveredLog log = new LogStore(disk, LOG_FOLDER, GroupId.CONTROL).recoveredLog();
        assertEquals(log, RecoveredLog.bootstrap(VOTERS));
      }
    }
  }

  /** Guards against an initial voter that is created again after its folder was set aside. */
  @Test
  public void createsNoInitialVoterInPlaceOfCorruptOne() throws StorageException {
    for (Refusal refusal : Set.of(Refusal.RENAME, Refusal.FOLDER_SYNC, Refusal.CREATION)) {
      createDisk();
      assertTrue(bootstrap());
      disk.refuse(EnumSet.of(refusal), 1);
      assertThrows(StorageException.class, () -> DataFolder.setAside(disk, FOLDER));
      disk.acceptAll();
      DataFolder.setAside(disk, FOLDER);
      assertFalse(bootstrap());
      try (DataFolder folder = DataFolder.open(disk, FOLDER, "cluster", "a")) {
        assertTrue(folder.incarnation() != DataFolder.BOOTSTRAP_INCARNATION);
      }
      assertEquals(
          new LogStore(disk, LOG_FOLDER, GroupId.CONTROL).recoveredLog(), RecoveredLog.EMPTY);
    }
  }

  private void tryBootstrap() {
    try {
      bootstrap();
    } catch (StorageException e) {
      assertEquals(e.fault(), StorageException.Fault.FAILED);
    }
  }

  private boolean bootstrap() throws StorageException {
    return VoterBootstrap.createDataFolder(disk, FOLDER, "cluster", "a", VOTERS);
  }

  private LogStore openLog() throws StorageException {
    return new LogStore(disk, FOLDER, GroupId.CONTROL);
  }
}
