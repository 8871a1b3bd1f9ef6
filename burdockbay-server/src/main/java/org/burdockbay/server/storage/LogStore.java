package org.burdockbay.server.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.HardState;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.Snapshot;
import org.burdockbay.server.storage.StorageException.Fault;
import org.burdockbay.wire.LogRecordCodec;
import org.burdockbay.wire.WireException;
import org.jspecify.annotations.Nullable;

/**
 * Stores the state of one Raft group in files: segments of log records and the newest snapshot.
 *
 * <p>A segment starts with the position of the entry before it and the current hard state, so
 * earlier segments can be deleted once a snapshot covers their entries. After a failed write or
 * sync the store refuses further writes: the kernel may have dropped the dirty pages, so a later
 * successful sync would not prove that the data is durable. {@link #reopen} discards such a write.
 * For the same reason, opening a folder writes the newest segment again instead of syncing it.
 *
 * <p>At most one write is unsynced at any time. With several, a power loss could lose an earlier
 * write and keep a later one, which is indistinguishable from corruption of synced records.
 */
public final class LogStore implements AutoCloseable {

  private static final String SEGMENT_PREFIX = "segment-";
  private static final String SNAPSHOT_FILE = "snapshot";

  /** Name under which a segment is written again before it replaces the original. */
  private static final String REWRITTEN_SEGMENT_FILE = "rewritten-segment";

  /** Buffered records are written and synced at this size, which bounds the memory of a batch. */
  private static final int FLUSH_THRESHOLD_BYTES = 1024 * 1024;

  private final Disk disk;
  private final Path folder;
  private final GroupId group;
  private final TreeMap<Long, Path> segments = new TreeMap<>();

  /** Index of the entry that precedes each segment, by segment number. */
  private final Map<Long, Long> segmentBaseIndexes = new HashMap<>();

  private final LogTermIndex termIndex = new LogTermIndex();
  private final ByteArrayOutputStream writeBuffer = new ByteArrayOutputStream();
  private final RecoveredLog recoveredLog;
  private final RecoveryReport recoveryReport;
  private int truncatedBytes;
  private HardState hardState = HardState.INITIAL;
  private Disk.@Nullable Writer currentSegment;

  /** Size of the current segment up to which it is synced, in bytes. */
  private long syncedBytes;

  /** Number of the segment to be started next. */
  private long nextSegment;

  private boolean failed;

  /**
   * Opens the folder of a group, recovers its log and starts a new segment.
   *
   * @throws StorageException if the files are corrupt or can't be read or written
   */
  public LogStore(Path folder, GroupId group) throws StorageException {
    this(FileDisk.INSTANCE, folder, group);
  }

  LogStore(Disk disk, Path folder, GroupId group) throws StorageException {
    this(disk, folder, group, Optional.empty());
  }

  private LogStore(Disk disk, Path folder, GroupId group, Optional<SyncedEnd> syncedEnd)
      throws StorageException {
    this.disk = disk;
    this.folder = folder;
    this.group = group;
    try {
      disk.createFolders(folder);
      findSegments();
      // Files created or renamed by an earlier process, and the folder itself, may be unsynced.
      disk.syncFolder(segments.isEmpty() ? folder.toAbsolutePath().getParent() : folder);
      SegmentReader reader = readSegments(syncedEnd);
      this.recoveredLog = recover(reader);
      this.recoveryReport = createRecoveryReport(reader);
      startSegment();
    } catch (IOException e) {
      closeQuietly();
      throw new StorageException(Fault.FAILED, folder + " can't be opened: " + e, e);
    }
  }

  /** Returns the state recovered from the files when the store was opened. */
  public RecoveredLog recoveredLog() {
    return recoveredLog;
  }

  /** Returns the findings about the files from when the store was opened. */
  public RecoveryReport recoveryReport() {
    return recoveryReport;
  }

  /**
   * Writes the changes of a batch in order; they are durable when this method returns.
   *
   * @throws StorageException if a write or sync fails; later writes are refused
   */
  public void write(List<RaftEffect.Persist> batch) throws StorageException {
    if (failed) {
      throw new StorageException(
          Fault.FAILED, folder + " accepts no writes after an earlier failure");
    }
    try {
      for (RaftEffect.Persist persist : batch) {
        writeRecords(persist);
      }
      flush();
    } catch (IOException e) {
      failed = true;
      throw new StorageException(Fault.FAILED, folder + " can't be written: " + e, e);
    }
  }

  /**
   * Opens the folder again after a failed write. What the write left is ignored, so the new store
   * recovers exactly what was synced. May be repeated until it succeeds.
   *
   * @throws StorageException if the disk still fails, or the files are corrupt
   */
  public LogStore reopen() throws StorageException {
    closeQuietly();
    SyncedEnd syncedEnd = new SyncedEnd(segments.lastKey(), syncedBytes);
    return new LogStore(disk, folder, group, Optional.of(syncedEnd));
  }

  @Override
  public void close() throws StorageException {
    try {
      currentSegment.close();
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, folder + " can't be closed", e);
    }
  }

  private void closeQuietly() {
    try {
      if (currentSegment != null) {
        currentSegment.close();
      }
    } catch (IOException e) {
      // What isn't synced is discarded.
    }
  }

  private void writeRecords(RaftEffect.Persist persist) throws IOException {
    if (persist.hardState().isPresent()) {
      hardState = persist.hardState().get();
      append(LogRecordCodec.hardState(hardState));
    }
    if (persist.snapshot().isPresent()) {
      writeSnapshot(persist.snapshot().get());
    }
    if (persist.truncateFrom().isPresent()) {
      append(LogRecordCodec.truncateFrom(persist.truncateFrom().getAsLong()));
      termIndex.truncateFrom(persist.truncateFrom().getAsLong());
    }
    for (LogEntry entry : persist.entries()) {
      append(LogRecordCodec.entry(entry));
      termIndex.append(entry.index(), entry.term());
    }
  }

  private void writeSnapshot(Snapshot snapshot) throws IOException {
    flush();
    RecordFile.replaceAtomically(
        disk, folder.resolve(SNAPSHOT_FILE), LogRecordCodec.snapshot(snapshot));
    if (termIndex.containsEntry(snapshot.index(), snapshot.term())) {
      termIndex.discardBefore(snapshot.index());
    } else {
      // The entries conflict with the snapshot, which replaces the whole log.
      termIndex.reset(snapshot.index(), snapshot.term());
    }
    currentSegment.close();
    startSegment();
    deleteObsoleteSegments(snapshot);
  }

  /**
   * Deletes the segments whose successor starts at or before the last entry of a snapshot.
   *
   * <p>If a disk refuses that, nothing is lost; the next snapshot tries again.
   */
  private void deleteObsoleteSegments(Snapshot snapshot) {
    while (segments.size() > 1) {
      long oldest = segments.firstKey();
      if (segmentBaseIndexes.get(segments.higherKey(oldest)) > snapshot.index()) {
        return;
      }
      try {
        disk.delete(segments.get(oldest));
      } catch (IOException e) {
        return;
      }
      segments.remove(oldest);
      segmentBaseIndexes.remove(oldest);
    }
  }

  private void startSegment() throws IOException {
    long number = nextSegment;
    Path file = folder.resolve(String.format("%s%012d", SEGMENT_PREFIX, number));
    segments.put(number, file);
    nextSegment++;
    segmentBaseIndexes.put(number, termIndex.lastIndex());
    syncedBytes = 0;
    currentSegment = disk.create(file);
    append(LogRecordCodec.base(group.number(), termIndex.lastIndex(), termIndex.lastTerm()));
    append(LogRecordCodec.hardState(hardState));
    flush();
    disk.syncFolder(folder);
  }

  private void append(byte[] payload) throws IOException {
    writeBuffer.write(RecordFile.frame(payload).array());
    if (writeBuffer.size() >= FLUSH_THRESHOLD_BYTES) {
      flush();
    }
  }

  private void flush() throws IOException {
    byte[] bytes = writeBuffer.toByteArray();
    currentSegment.write(ByteBuffer.wrap(bytes));
    writeBuffer.reset();
    currentSegment.sync();
    syncedBytes += bytes.length;
  }

  private void findSegments() throws IOException {
    for (Path file : disk.list(folder)) {
      String name = file.getFileName().toString();
      if (name.startsWith(SEGMENT_PREFIX)) {
        segments.put(Long.parseLong(name.substring(SEGMENT_PREFIX.length())), file);
      }
    }
    nextSegment = segments.isEmpty() ? 1 : segments.lastKey() + 1;
  }

  /**
   * Reads all segments, and makes the newest one durable.
   *
   * <p>Entries returned by recovery must be durable. Older segments are, since a segment is created
   * only after its predecessor is durable.
   */
  private SegmentReader readSegments(Optional<SyncedEnd> syncedEnd)
      throws IOException, StorageException {
    SegmentReader reader = new SegmentReader(group);
    List<byte[]> lastRecords = List.of();
    boolean lastIsRedundant = false;
    for (Map.Entry<Long, Path> next : segments.entrySet()) {
      final long changesBefore = reader.changeCount();
      reader.beginSegment();
      lastRecords = readSegment(next.getKey(), syncedEnd, reader);
      segmentBaseIndexes.put(next.getKey(), reader.segmentBaseIndex());
      lastIsRedundant = reader.changeCount() == changesBefore;
    }
    if (lastIsRedundant) {
      // Left by a start without writes, or by a failed attempt to open the folder. The number is
      // used again, so that the attempts don't accumulate files.
      nextSegment = segments.pollLastEntry().getKey();
      segmentBaseIndexes.remove(nextSegment);
    } else if (!segments.isEmpty()) {
      rewriteSegment(segments.lastEntry().getValue(), lastRecords);
    }
    return reader;
  }

  /**
   * Replaces a segment by a copy that is durable. A sync of the original wouldn't prove that: if an
   * earlier sync failed, bytes that the kernel dropped may still be readable.
   */
  private void rewriteSegment(Path segment, List<byte[]> records) throws IOException {
    Path copy = folder.resolve(REWRITTEN_SEGMENT_FILE);
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    records.forEach(record -> content.writeBytes(RecordFile.frame(record).array()));
    try (Disk.Writer writer = disk.create(copy)) {
      writer.write(ByteBuffer.wrap(content.toByteArray()));
      writer.sync();
    }
    disk.move(copy, segment);
    disk.syncFolder(folder);
  }

  private RecoveryReport createRecoveryReport(SegmentReader reader) {
    long first = segments.isEmpty() ? 0 : segments.firstKey();
    long last = segments.isEmpty() ? 0 : segments.lastKey();
    return new RecoveryReport(first, last, truncatedBytes, reader.gaps());
  }

  private RecoveredLog recover(SegmentReader reader) throws StorageException {
    Optional<Snapshot> snapshot = loadSnapshot();
    long covered = snapshot.map(Snapshot::index).orElse(0L);
    if (reader.baseIndex() > covered) {
      throw new StorageException(
          Fault.CORRUPT,
          folder + " is missing the entries from " + (covered + 1) + " to " + reader.baseIndex());
    }
    List<LogEntry> entries = new ArrayList<>();
    if (snapshot.isEmpty()) {
      entries.addAll(reader.entries());
    } else if (reader.containsEntry(snapshot.get().index(), snapshot.get().term())) {
      // Entries after the snapshot are valid only if the log contains the snapshot's last entry;
      // otherwise they belong to a conflicting log that the snapshot replaced.
      reader.entries().stream().filter(entry -> entry.index() > covered).forEach(entries::add);
    }
    hardState = reader.lastHardState();
    termIndex.reset(covered, snapshot.map(Snapshot::term).orElse(0L));
    entries.forEach(entry -> termIndex.append(entry.index(), entry.term()));
    return new RecoveredLog(hardState, snapshot, entries);
  }

  /** Reads the valid records of a segment, up to the end of its synced part if that is known. */
  private List<byte[]> readSegment(long number, Optional<SyncedEnd> syncedEnd, SegmentReader reader)
      throws StorageException {
    Path file = segments.get(number);
    long limit =
        syncedEnd.filter(end -> end.segment == number).map(SyncedEnd::bytes).orElse(Long.MAX_VALUE);
    RecordFile.Content content = RecordFile.read(disk, file, limit);
    if (content.isTorn()) {
      if (number != segments.lastKey()) {
        throw new StorageException(
            Fault.CORRUPT, file + " is corrupt at byte " + content.validBytes());
      }
      truncatedBytes = content.fileBytes() - content.validBytes();
    }
    for (byte[] record : content.records()) {
      try {
        LogRecordCodec.decode(record, reader);
      } catch (WireException e) {
        throw new StorageException(Fault.CORRUPT, file + ": " + e.getMessage(), e);
      }
    }
    return content.records();
  }

  private Optional<Snapshot> loadSnapshot() throws StorageException {
    Path file = folder.resolve(SNAPSHOT_FILE);
    if (!disk.exists(file)) {
      return Optional.empty();
    }
    RecordFile.Content content = RecordFile.read(disk, file);
    if (content.isTorn() || content.records().size() != 1) {
      throw new StorageException(Fault.CORRUPT, file + " is not a single complete record");
    }
    try {
      return Optional.of(LogRecordCodec.snapshot(content.records().getFirst()));
    } catch (WireException e) {
      throw new StorageException(Fault.CORRUPT, file + ": " + e.getMessage(), e);
    }
  }

  /**
   * End of the synced part of the newest segment.
   *
   * @param segment number of the segment
   * @param bytes size of its synced part
   */
  private record SyncedEnd(long segment, long bytes) {}
}
