package org.burdockbay.server.storage;

import static org.testng.Assert.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.HardState;
import org.burdockbay.core.agreement.RaftEffect;
import org.testng.annotations.Test;

/** Tests failure reporting of {@link LogWriter}. */
public class LogWriterTest {

  private static final RaftEffect.Persist HARD_STATE =
      new RaftEffect.Persist(
          1, Optional.of(HardState.INITIAL), Optional.empty(), OptionalLong.empty(), List.of());

  /** If the writer's thread fails, the host must not continue as a voter that syncs nothing. */
  @Test
  public void reportsFailuresOfItsThread() throws Exception {
    ModelDisk disk = new ModelDisk(1);
    LogStore store = new LogStore(disk, Path.of("/data"), GroupId.CONTROL);
    CompletableFuture<StorageException> failure = new CompletableFuture<>();
    LogWriter writer = new LogWriter(store, ticket -> {}, failure::complete);
    writer.start();
    disk.killAfter(0);
    writer.submit(HARD_STATE);
    assertEquals(failure.get(10, TimeUnit.SECONDS).fault(), StorageException.Fault.FAILED);
    writer.close();
  }

  /** Guards against a voter that never syncs again after a write for which memory was missing. */
  @Test
  public void reportsLackOfMemory() throws Exception {
    ModelDisk disk = new ModelDisk(1);
    LogStore store = new LogStore(disk, Path.of("/data"), GroupId.CONTROL);
    CompletableFuture<StorageException> failure = new CompletableFuture<>();
    LogWriter writer = new LogWriter(store, ticket -> {}, failure::complete);
    writer.start();
    disk.setMemoryExhausted(true);
    writer.submit(HARD_STATE);
    assertEquals(failure.get(10, TimeUnit.SECONDS).fault(), StorageException.Fault.FAILED);
    disk.setMemoryExhausted(false);
    store.reopen().write(List.of(HARD_STATE));
  }
}
