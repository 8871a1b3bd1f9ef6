package org.burdockbay.server.storage;

import java.io.Closeable;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import org.burdockbay.core.agreement.Bytes;

/** An in-memory disk that simulates process kills, power losses and refused operations. */
final class ModelDisk implements Disk {

  private static final Path ROOT = Path.of("/");

  private final SplittableRandom random;
  private final List<NameChange> unsyncedNames = new ArrayList<>();
  private TreeMap<Path, Inode> names = new TreeMap<>();
  private TreeMap<Path, Inode> durableNames = new TreeMap<>();
  private int operationsLeft = Integer.MAX_VALUE;
  private boolean nextSyncFails;
  private boolean memoryIsExhausted;
  private Set<Refusal> refusals = EnumSet.noneOf(Refusal.class);
  private int acceptedOperationsLeft;
  private int refusedOperationsLeft;

  ModelDisk(long seed) {
    this.random = new SplittableRandom(seed);
    names.put(ROOT, new Inode());
    durableNames.put(ROOT, names.get(ROOT));
  }

  /** Kills the process after the given number of further operations. */
  void killAfter(int operations) {
    operationsLeft = operations;
  }

  /** Sets whether operations fail for lack of memory. */
  void setMemoryExhausted(boolean exhausted) {
    memoryIsExhausted = exhausted;
  }

  /** Allows a new process to use the disk. */
  void restart() {
    operationsLeft = Integer.MAX_VALUE;
  }

  /**
   * Makes the next sync of a file fail. As after a failed sync on Linux, the unsynced bytes stay
   * readable, but later syncs don't write them.
   */
  void failNextSync() {
    nextSyncFails = true;
  }

  /**
   * Refuses operations of some kinds until the given number of operations was refused, or {@link
   * #acceptAll} is called.
   */
  void refuse(Set<Refusal> kinds, int operations) {
    refuseAfter(0, kinds, operations);
  }

  /** Does the same after a number of operations of these kinds, which are accepted. */
  void refuseAfter(int accepted, Set<Refusal> kinds, int operations) {
    refusals = kinds;
    acceptedOperationsLeft = accepted;
    refusedOperationsLeft = operations;
  }

  /** Accepts all operations again. */
  void acceptAll() {
    refusedOperationsLeft = 0;
  }

  /** Loses all unsynced writes and directory entries. */
  void losePower() {
    applyPowerLoss(change -> false);
  }

  /** Loses all unsynced writes, but no directory entries. */
  void losePowerKeepingNames() {
    durableNames = new TreeMap<>(names);
    losePower();
  }

  /** Loses one unsynced change of each file and of the directories, by position; keeps others. */
  void losePowerAndOneWrite(int lost) {
    applyPowerLoss(change -> change != lost);
  }

  /** Keeps, loses or tears each unsynced write; keeps or loses each unsynced directory change. */
  void losePowerAtRandom() {
    applyPowerLoss(change -> random.nextBoolean());
  }

  /** Creates a folder whose directory entry is durable. */
  void createDurableFolder(Path folder) {
    names.put(folder, new Inode());
    durableNames.put(folder, names.get(folder));
  }

  /** Overwrites durable bytes of a file, as a failing disk would. */
  void corrupt(Path file, int offset, byte[] bytes) throws IOException {
    Inode inode = inode(file);
    inode.apply(new ContentChange(offset, Bytes.copyOf(bytes)));
    inode.sync();
  }

  private boolean isRefused(Refusal kind) {
    if (refusedOperationsLeft == 0 || !refusals.contains(kind)) {
      return false;
    }
    if (acceptedOperationsLeft > 0) {
      acceptedOperationsLeft--;
      return false;
    }
    refusedOperationsLeft--;
    return true;
  }

  private void failIfRefused(Refusal kind) throws IOException {
    if (isRefused(kind)) {
      throw new IOException("the disk refuses " + kind);
    }
  }

  private void applyPowerLoss(IntPredicate kept) {
    restart();
    for (int change = 0; change < unsyncedNames.size(); change++) {
      if (kept.test(change)) {
        unsyncedNames.get(change).effect.accept(durableNames);
      }
    }
    unsyncedNames.clear();
    durableNames.keySet().removeIf(path -> !isReachable(path));
    names = new TreeMap<>(durableNames);
    names.values().forEach(inode -> inode.losePower(kept, random));
  }

  private boolean isReachable(Path path) {
    return path.equals(ROOT)
        || (durableNames.containsKey(path.getParent()) && isReachable(path.getParent()));
  }

  @Override
  public void createFolders(Path folder) throws IOException {
    if (!exists(folder)) {
      createFolders(folder.getParent());
      countOperation();
      failIfRefused(Refusal.CREATION);
      link(folder, new Inode());
    }
  }

  @Override
  public boolean exists(Path path) {
    return names.containsKey(path);
  }

  @Override
  public List<Path> list(Path folder) {
    return names.keySet().stream()
        .filter(path -> folder.equals(path.getParent()))
        .sorted(Comparator.naturalOrder())
        .toList();
  }

  @Override
  public byte[] read(Path file) throws IOException {
    return inode(file).content.clone();
  }

  @Override
  public Optional<Closeable> lock(Path file) throws IOException {
    create(file);
    return Optional.of(() -> {});
  }

  @Override
  public Writer create(Path file) throws IOException {
    countOperation();
    Inode inode = names.get(file);
    if (inode == null) {
      failIfRefused(Refusal.CREATION);
      inode = new Inode();
      link(file, inode);
    } else {
      failIfRefused(Refusal.TRUNCATION);
      inode.resize(0);
    }
    return new InodeWriter(inode);
  }

  @Override
  public void move(Path from, Path to) throws IOException {
    countOperation();
    failIfRefused(Refusal.RENAME);
    inode(from);
    changeNames(to.getParent(), bindings -> moveTree(bindings, from, to));
  }

  private static void moveTree(Map<Path, Inode> bindings, Path from, Path to) {
    for (Path path : List.copyOf(bindings.keySet())) {
      if (path.startsWith(from)) {
        bindings.put(to.resolve(from.relativize(path)), bindings.remove(path));
      }
    }
  }

  @Override
  public void delete(Path file) throws IOException {
    countOperation();
    failIfRefused(Refusal.REMOVAL);
    changeNames(file.getParent(), bindings -> bindings.remove(file));
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    countOperation();
    failIfRefused(Refusal.FOLDER_SYNC);
    unsyncedNames.stream()
        .filter(change -> change.folder.equals(folder))
        .forEach(change -> change.effect.accept(durableNames));
    unsyncedNames.removeIf(change -> change.folder.equals(folder));
  }

  private void sync(Inode inode) throws IOException {
    if (nextSyncFails || isRefused(Refusal.SYNC)) {
      nextSyncFails = false;
      inode.dropUnsynced();
      throw new IOException("the disk fails");
    }
    inode.sync();
  }

  private void link(Path path, Inode inode) {
    changeNames(path.getParent(), bindings -> bindings.put(path, inode));
  }

  private void changeNames(Path folder, Consumer<Map<Path, Inode>> effect) {
    effect.accept(names);
    unsyncedNames.add(new NameChange(folder, effect));
  }

  private Inode inode(Path path) throws IOException {
    Inode inode = names.get(path);
    if (inode == null) {
      throw new FileNotFoundException(path.toString());
    }
    return inode;
  }

  private void countOperation() {
    if (operationsLeft <= 0) {
      throw new ProcessKilled();
    }
    operationsLeft--;
    if (memoryIsExhausted) {
      throw new OutOfMemoryError("Cannot reserve direct buffer memory");
    }
  }

  /** Kinds of operations that the disk can refuse. */
  enum Refusal {
    APPEND,
    /** A write of which only a part is done. */
    REST_OF_APPEND,
    CREATION,
    TRUNCATION,
    RENAME,
    REMOVAL,
    SYNC,
    FOLDER_SYNC
  }

  /** Thrown at the operation that kills the process; earlier changes stay visible. */
  static final class ProcessKilled extends RuntimeException {

    private static final long serialVersionUID = 1L;
  }

  private record NameChange(Path folder, Consumer<Map<Path, Inode>> effect) {}

  /** An unsynced write, or an unsynced resize to the offset if there are no bytes. */
  private record ContentChange(int offset, Bytes bytes) {

    boolean isResize() {
      return bytes.size() == 0;
    }

    byte[] applyTo(byte[] content) {
      int end = offset + bytes.size();
      byte[] changed = Arrays.copyOf(content, isResize() ? offset : Math.max(end, content.length));
      System.arraycopy(bytes.toArray(), 0, changed, offset, bytes.size());
      return changed;
    }

    ContentChange tornRandomly(SplittableRandom random) {
      return new ContentChange(offset, bytes.slice(0, random.nextInt(bytes.size()) + 1));
    }
  }

  private static final class Inode {

    private final List<ContentChange> unsynced = new ArrayList<>();
    private byte[] content = new byte[0];
    private byte[] durable = new byte[0];

    /** Offset from which readable bytes were dropped by a failed sync. */
    private int droppedFrom = Integer.MAX_VALUE;

    void write(byte[] bytes) {
      apply(new ContentChange(content.length, Bytes.copyOf(bytes)));
    }

    void resize(int size) {
      apply(new ContentChange(size, Bytes.EMPTY));
    }

    void sync() {
      durable = Arrays.copyOf(content, Math.min(content.length, droppedFrom));
      unsynced.clear();
    }

    void dropUnsynced() {
      droppedFrom = Math.min(droppedFrom, durable.length);
      unsynced.clear();
    }

    private void apply(ContentChange change) {
      content = change.applyTo(content);
      unsynced.add(change);
      if (content.length <= droppedFrom) {
        droppedFrom = Integer.MAX_VALUE;
      }
    }

    void losePower(IntPredicate kept, SplittableRandom random) {
      for (int change = 0; change < unsynced.size(); change++) {
        if (kept.test(change)) {
          ContentChange made = unsynced.get(change);
          boolean whole = made.isResize() || kept.test(change);
          durable = (whole ? made : made.tornRandomly(random)).applyTo(durable);
        }
      }
      content = durable;
      droppedFrom = Integer.MAX_VALUE;
      unsynced.clear();
    }
  }

  private final class InodeWriter implements Writer {

    private final Inode inode;

    InodeWriter(Inode inode) {
      this.inode = inode;
    }

    @Override
    public void write(ByteBuffer buffer) throws IOException {
      countOperation();
      failIfRefused(Refusal.APPEND);
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      if (bytes.length > 0 && isRefused(Refusal.REST_OF_APPEND)) {
        inode.write(Arrays.copyOf(bytes, random.nextInt(bytes.length)));
        throw new IOException("the disk refuses " + Refusal.REST_OF_APPEND);
      }
      inode.write(bytes);
    }

    @Override
    public void sync() throws IOException {
      countOperation();
      ModelDisk.this.sync(inode);
    }

    @Override
    public void close() {}
  }
}
