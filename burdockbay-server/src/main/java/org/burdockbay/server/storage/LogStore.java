package org.burdockbay.server.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.HardState;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.Snapshot;
import org.burdockbay.server.storage.StorageException.Fault;
import org.burdockbay.wire.LogRecordCodec;
import org.burdockbay.wire.WireException;

/**
 * The files of one agreement group: segments of log records, and the newest snapshot.
 *
 * <p>A segment begins with the entry that it follows and the current term and vote, so segments
 * before it can be deleted once a snapshot covers their entries. After a failed write or sync
 * nothing more is written: the kernel may have dropped the pages, so a second sync that succeeds
 * would prove nothing.
 */
public final class LogStore implements AutoCloseable {

  private static final String SEGMENT = "segment-";
  private static final String SNAPSHOT = "snapshot";

  private final Path folder;
  private final GroupId group;
  private final TreeMap<Long, Path> segments = new TreeMap<>();
  private final RecoveredLog recovered;
  private final RecoveryReport report;
  private int cutBytes;
  private HardState hardState = HardState.INITIAL;
  private long lastIndex;
  private long lastTerm;
  private FileChannel channel;
  private boolean failed;

  /**
   * Opens the files of a group and reads them.
   *
   * @throws StorageException if they are corrupt or can't be read
   */
  public LogStore(Path folder, GroupId group) throws StorageException {
    this.folder = folder;
    this.group = group;
    try {
      Files.createDirectories(folder);
      findSegments();
      SegmentReader reader = readSegments();
      this.recovered = recover(reader);
      this.report = reportOf(reader);
      this.channel = startSegment();
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, folder + " can't be opened: " + e, e);
    }
  }

  /** Returns what the files held when they were opened. */
  public RecoveredLog recovered() {
    return recovered;
  }

  /** Returns what was found in the files when they were opened. */
  public RecoveryReport report() {
    return report;
  }

  /**
   * Writes what the effects carry, in their order, and syncs once.
   *
   * @throws StorageException if anything fails; the store takes nothing more then
   */
  public void write(List<RaftEffect.Persist> batch) throws StorageException {
    if (failed) {
      throw new StorageException(Fault.FAILED, folder + " failed before");
    }
    try {
      for (RaftEffect.Persist persist : batch) {
        writeOne(persist);
      }
      channel.force(false);
    } catch (IOException e) {
      failed = true;
      throw new StorageException(Fault.FAILED, folder + " can't be written: " + e, e);
    }
  }

  @Override
  public void close() throws StorageException {
    try {
      channel.close();
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, folder + " can't be closed", e);
    }
  }

  private void writeOne(RaftEffect.Persist persist) throws IOException {
    if (persist.hardState().isPresent()) {
      hardState = persist.hardState().get();
      append(LogRecordCodec.hardState(hardState));
    }
    if (persist.snapshot().isPresent()) {
      writeSnapshot(persist.snapshot().get());
    }
    if (persist.truncateFrom().isPresent()) {
      append(LogRecordCodec.truncateFrom(persist.truncateFrom().getAsLong()));
    }
    for (LogEntry entry : persist.entries()) {
      append(LogRecordCodec.entry(entry));
      lastIndex = entry.index();
      lastTerm = entry.term();
    }
  }

  private void writeSnapshot(Snapshot snapshot) throws IOException {
    channel.force(false);
    Path draft = folder.resolve(SNAPSHOT + ".new");
    RecordFile.writeWhole(draft, LogRecordCodec.snapshot(snapshot));
    Files.move(draft, folder.resolve(SNAPSHOT), StandardCopyOption.ATOMIC_MOVE);
    RecordFile.syncFolder(folder);
    if (snapshot.index() > lastIndex) {
      lastIndex = snapshot.index();
      lastTerm = snapshot.term();
    }
    channel.close();
    channel = startSegment();
    // A segment whose successor begins at or before the snapshot holds nothing that is needed.
    while (segments.size() > 1) {
      long next = segments.higherKey(segments.firstKey());
      if (baseOf(segments.get(next)) > snapshot.index()) {
        break;
      }
      Files.deleteIfExists(segments.pollFirstEntry().getValue());
    }
  }

  private FileChannel startSegment() throws IOException {
    long number = segments.isEmpty() ? 1 : segments.lastKey() + 1;
    Path file = folder.resolve(String.format("%s%012d", SEGMENT, number));
    segments.put(number, file);
    FileChannel opened =
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
    channel = opened;
    append(LogRecordCodec.base(group.number(), lastIndex, lastTerm));
    append(LogRecordCodec.hardState(hardState));
    opened.force(true);
    RecordFile.syncFolder(folder);
    return opened;
  }

  private void append(byte[] payload) throws IOException {
    ByteBuffer buffer = RecordFile.frame(payload);
    while (buffer.hasRemaining()) {
      channel.write(buffer);
    }
  }

  private long baseOf(Path segment) throws IOException {
    SegmentReader reader = new SegmentReader(group);
    try {
      List<byte[]> records = RecordFile.read(segment).records();
      LogRecordCodec.decode(records.getFirst(), reader);
    } catch (StorageException | WireException e) {
      throw new IOException(segment + " has no readable head", e);
    }
    return reader.lastIndex();
  }

  private void findSegments() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.sorted().toList()) {
        String name = file.getFileName().toString();
        if (name.startsWith(SEGMENT)) {
          segments.put(Long.parseLong(name.substring(SEGMENT.length())), file);
        }
      }
    }
  }

  private SegmentReader readSegments() throws IOException, StorageException {
    SegmentReader reader = new SegmentReader(group);
    for (Path segment : segments.values()) {
      readSegment(segment, reader);
    }
    return reader;
  }

  private RecoveryReport reportOf(SegmentReader reader) {
    long first = segments.isEmpty() ? 0 : segments.firstKey();
    long last = segments.isEmpty() ? 0 : segments.lastKey();
    return new RecoveryReport(first, last, cutBytes, reader.gaps());
  }

  private RecoveredLog recover(SegmentReader reader) throws StorageException {
    Optional<Snapshot> snapshot = loadSnapshot();
    List<LogEntry> entries = new ArrayList<>();
    if (snapshot.isEmpty()) {
      entries.addAll(reader.entries());
    } else if (reader.holds(snapshot.get().index(), snapshot.get().term())) {
      // Entries after the snapshot count only if the log held the snapshot's last entry itself;
      // otherwise they stem from a branch that the snapshot replaced.
      long index = snapshot.get().index();
      reader.entries().stream().filter(entry -> entry.index() > index).forEach(entries::add);
    }
    hardState = reader.lastHardState();
    lastIndex =
        entries.isEmpty() ? snapshot.map(Snapshot::index).orElse(0L) : entries.getLast().index();
    lastTerm =
        entries.isEmpty() ? snapshot.map(Snapshot::term).orElse(0L) : entries.getLast().term();
    return new RecoveredLog(hardState, snapshot, entries);
  }

  private void readSegment(Path segment, SegmentReader reader)
      throws IOException, StorageException {
    RecordFile.Content content = RecordFile.read(segment);
    boolean last = segment.equals(segments.lastEntry().getValue());
    if (content.torn()) {
      if (!last) {
        throw new StorageException(
            Fault.CORRUPT, segment + " is corrupt at byte " + content.goodBytes());
      }
      cutBytes = content.fileBytes() - content.goodBytes();
      try (FileChannel cut = FileChannel.open(segment, StandardOpenOption.WRITE)) {
        cut.truncate(content.goodBytes());
        cut.force(true);
      }
    }
    for (byte[] record : content.records()) {
      try {
        LogRecordCodec.decode(record, reader);
      } catch (WireException e) {
        throw new StorageException(Fault.CORRUPT, segment + ": " + e.getMessage(), e);
      }
    }
  }

  private Optional<Snapshot> loadSnapshot() throws StorageException {
    Path file = folder.resolve(SNAPSHOT);
    if (!Files.exists(file)) {
      return Optional.empty();
    }
    RecordFile.Content content = RecordFile.read(file);
    if (content.torn() || content.records().size() != 1) {
      throw new StorageException(Fault.CORRUPT, file + " is not whole");
    }
    try {
      return Optional.of(LogRecordCodec.snapshot(content.records().getFirst()));
    } catch (WireException e) {
      throw new StorageException(Fault.CORRUPT, file + ": " + e.getMessage(), e);
    }
  }
}
