package org.burdockbay.server.storage;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Implements {@link Disk} on the file system of the operating system. */
enum FileDisk implements Disk {
  INSTANCE;

  @Override
  public void createFolders(Path folder) throws IOException {
    Files.createDirectories(folder);
  }

  @Override
  public boolean exists(Path path) {
    return Files.exists(path);
  }

  @Override
  public List<Path> list(Path folder) throws IOException {
    try (Stream<Path> content = Files.list(folder)) {
      return content.sorted().toList();
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  @Override
  public byte[] read(Path file) throws IOException {
    return Files.readAllBytes(file);
  }

  @Override
  public Optional<Closeable> lock(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock;
    try {
      lock = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      channel.close();
      return Optional.empty();
    }
    return Optional.of(channel);
  }

  @Override
  public Writer create(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
    return new ChannelWriter(channel);
  }

  @Override
  public void move(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(Path file) throws IOException {
    Files.deleteIfExists(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private record ChannelWriter(FileChannel channel) implements Writer {

    @Override
    public void write(ByteBuffer buffer) throws IOException {
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
