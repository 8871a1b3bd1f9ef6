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

/** Tests recovery of {@link LogStore} and {@link DataFolder} from real files. */
public class LogStoreTest {

  private Path folder;

  /** Creates an empty folder for each test. */
  @BeforeMethod
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("log-store");
  }

  /** Deletes the folder with its files. */
  @AfterMethod
  public void removeFolder() throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
        Files.delete(file);
      }
    }
  }

  /** Written entries and votes must survive several restarts in a row. */
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
   * A power loss during a write leaves an incomplete record at the end. It was never synced and so
   * never acknowledged; the host must drop it and start without an operator.
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

  /**
   * A power loss may leave zeros at the end, in blocks that the file system had allocated. They
   * must not be treated as corruption.
   */
  @Test
  public void truncatesZerosAtTheEnd() throws StorageException, IOException {
    write(persist(VOTED, entries(1, 5)));
    Files.write(newestSegment(), new byte[4096], StandardOpenOption.APPEND);
    assertEquals(reopen().entries(), entries(1, 5));
  }

  /**
   * A bit flips in a synced record that valid records follow. Truncating the log there would lose
   * acknowledged entries; the folder must be refused as corrupt.
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

  /** Segments covered by snapshots must be deleted, or the number of files grows without bound. */
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
   * A follower installs a snapshot that replaces a conflicting log. After a restart the old entries
   * must not reappear after the snapshot as if they followed it.
   */
  @Test
  public void discardsEntriesOfReplacedBranches() throws StorageException {
    write(persist(VOTED, entries(1, 9)));
    write(snapshot(5, 8));
    RecoveredLog recovered = reopen();
    assertEquals(recovered.snapshot().orElseThrow().term(), 8);
    assertEquals(recovered.entries(), List.of());
  }

  /** Truncated entries must not reappear after a restart. */
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

  /** A folder that is in use or belongs to another host must be refused. */
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
