package org.burdockbay.server.storage;

import static org.burdockbay.server.storage.LogRecords.VOTED;
import static org.burdockbay.server.storage.LogRecords.entries;
import static org.burdockbay.server.storage.LogRecords.entry;
import static org.burdockbay.server.storage.LogRecords.persist;
import static org.burdockbay.server.storage.LogRecords.snapshot;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.RecoveredLog;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Damage to the files of a group. */
public class LogStoreTest {

  private Path folder;

  /** Makes a folder for each test. */
  @BeforeMethod
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("log-store");
  }

  /** Removes the folder. */
  @AfterMethod
  public void removeFolder() throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
        Files.delete(file);
      }
    }
  }

  /** What was written is there after a restart, after another restart too. */
  @Test
  public void keepsEntriesAndVotesAcrossRestarts() throws StorageException {
    write(persist(VOTED, entries(1, 5)));
    for (int restart = 0; restart < 3; restart++) {
      RecoveredLog recovered = reopen();
      assertEquals(recovered.hardState(), VOTED);
      assertEquals(recovered.entries(), entries(1, 5));
    }
  }

  /**
   * The power fails in the middle of a write, which leaves half a record at the end. It was never
   * synced, so nobody was promised it; the host must start without it and without an operator.
   */
  @Test
  public void truncatesTornTails() throws StorageException, IOException {
    write(persist(VOTED, entries(1, 5)));
    Path segment = newestSegment();
    byte[] bytes = Files.readAllBytes(segment);
    Files.write(segment, java.util.Arrays.copyOf(bytes, bytes.length - 3));
    assertEquals(reopen().entries(), entries(1, 4));
    assertEquals(reopen().entries(), entries(1, 4));
  }

  /** Zeros at the end are blocks that the file system had reserved before the power failed. */
  @Test
  public void truncatesZerosAtTheEnd() throws StorageException, IOException {
    write(persist(VOTED, entries(1, 5)));
    Files.write(newestSegment(), new byte[4096], StandardOpenOption.APPEND);
    assertEquals(reopen().entries(), entries(1, 5));
  }

  /**
   * A bit flips in a record that was synced, with good records after it. Cutting the log there
   * would take back what was acknowledged; the folder must be refused as corrupt.
   */
  @Test
  public void rejectsFlippedBitsBeforeValidRecords() throws StorageException, IOException {
    write(persist(VOTED, entries(1, 5)));
    Path segment = newestSegment();
    byte[] bytes = Files.readAllBytes(segment);
    bytes[bytes.length / 2] ^= 4;
    Files.write(segment, bytes);
    StorageException e = expectThrows(StorageException.class, this::reopen);
    assertEquals(e.fault(), StorageException.Fault.CORRUPT);
    assertTrue(e.getMessage().contains(segment.toString()), e.getMessage());
  }

  /** Hundreds of changes and snapshots leave few files, and a restart reads only what counts. */
  @Test
  public void deletesSegmentsCoveredBySnapshots() throws StorageException, IOException {
    try (LogStore store = new LogStore(folder, GroupId.CONTROL)) {
      for (int i = 0; i < 20; i++) {
        long from = i * 10L + 1;
        store.write(List.of(persist(VOTED, entries(from, from + 9))));
        store.write(List.of(snapshot(from + 9, 1)));
      }
    }
    RecoveredLog recovered = reopen();
    assertEquals(recovered.snapshot().orElseThrow().index(), 200);
    assertEquals(recovered.entries(), List.of());
    try (Stream<Path> files = Files.list(folder)) {
      assertTrue(files.count() <= 5);
    }
  }

  /**
   * A follower gets a snapshot that replaces a log of another branch. After a crash the old entries
   * must not come back behind the snapshot, as if they followed it.
   */
  @Test
  public void discardsEntriesOfReplacedBranches() throws StorageException {
    write(persist(VOTED, entries(1, 9)));
    write(snapshot(5, 8));
    RecoveredLog recovered = reopen();
    assertEquals(recovered.snapshot().orElseThrow().term(), 8);
    assertEquals(recovered.entries(), List.of());
  }

  /** Entries that were removed before a crash stay removed. */
  @Test
  public void keepsTruncatedEntriesRemoved() throws StorageException {
    write(persist(VOTED, entries(1, 5)));
    write(
        new RaftEffect.Persist(
            1, Optional.empty(), Optional.empty(), OptionalLong.of(3), List.of(entry(3, 7))));
    List<LogEntry> expected = new ArrayList<>(entries(1, 2));
    expected.add(entry(3, 7));
    assertEquals(reopen().entries(), expected);
  }

  /** A disk of another host, or a folder that a second process opens, is refused by name. */
  @Test
  public void rejectsFoldersOfOtherHostsAndFoldersInUse() throws StorageException {
    Path path = folder.resolve("data");
    try (DataFolder first = DataFolder.open(path, "cluster", "a")) {
      assertTrue(first.incarnation() > DataFolder.BOOTSTRAP_INCARNATION);
      StorageException used =
          expectThrows(StorageException.class, () -> DataFolder.open(path, "cluster", "a"));
      assertTrue(used.getMessage().contains("in use by another process"), used.getMessage());
    }
    StorageException foreign =
        expectThrows(StorageException.class, () -> DataFolder.open(path, "cluster", "b"));
    assertEquals(foreign.fault(), StorageException.Fault.FOREIGN);
  }

  private void write(RaftEffect.Persist persist) throws StorageException {
    try (LogStore store = new LogStore(folder, GroupId.CONTROL)) {
      store.write(List.of(persist));
    }
  }

  private RecoveredLog reopen() throws StorageException {
    try (LogStore store = new LogStore(folder, GroupId.CONTROL)) {
      return store.recoveredLog();
    }
  }

  private Path newestSegment() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("segment"))
          .max(Path::compareTo)
          .orElseThrow();
    }
  }
}
