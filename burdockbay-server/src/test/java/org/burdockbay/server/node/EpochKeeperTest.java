package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.storage.EpochFile;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link EpochKeeper} with real files. */
public class EpochKeeperTest {

  private static final EpochFile.Content CONTENT = new EpochFile.Content(7, ShardLayout.UNDIVIDED);

  private static final int MAX_WAIT_SECONDS = 10;
  private static final int MIN_WAIT_MILLIS = 300;

  private final BlockingQueue<Runnable> control = new LinkedBlockingQueue<>();
  private Path folder;
  private EpochKeeper keeper;

  /** Creates a keeper whose folder doesn't exist yet. */
  @BeforeMethod
  public void createKeeper() throws Exception {
    folder = Files.createTempDirectory("epoch").resolve("data");
    keeper = new EpochKeeper(Optional.of(new EpochFile(folder)), control::add, new EventLog("a"));
  }

  /** Guards against an epoch that counts as saved although the disk refused to write it. */
  @Test
  public void writesRefusedContentAgain() throws Exception {
    keeper.load();
    save(0);
    Files.createDirectories(folder);
    save(EpochKeeper.RETRY_INTERVAL_MILLIS);
    assertEquals(new EpochFile(folder).read(), CONTENT);
  }

  /** Guards against a file in a folder without identity, which could never become a data folder. */
  @Test
  public void writesNothingBeforeDataFolderIsOpen() throws Exception {
    Files.createDirectories(folder);
    keeper.save(CONTENT.epoch(), CONTENT.layout(), 0);
    assertNull(control.poll(MIN_WAIT_MILLIS, TimeUnit.MILLISECONDS));
    keeper.load();
    assertEquals(new EpochFile(folder).read(), EpochFile.Content.NONE);
    save(0);
    assertEquals(new EpochFile(folder).read(), CONTENT);
  }

  /** Saves the content and waits for the outcome of the write. */
  private void save(long now) throws InterruptedException {
    keeper.save(CONTENT.epoch(), CONTENT.layout(), now);
    Runnable outcome = control.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(outcome, "nothing was written");
    outcome.run();
  }
}
