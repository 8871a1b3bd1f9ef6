package org.burdockbay.server.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.storage.DataFolder;
import org.burdockbay.server.storage.LogStore;
import org.burdockbay.server.storage.LogWriter;
import org.burdockbay.server.storage.StorageException;
import org.burdockbay.server.storage.VoterBootstrap;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link AgreementDriver} with a group of one voter. */
public class AgreementDriverTest {

  private static final String HOST = "a";
  private static final int MAX_POLLS = 400;

  private final BlockingQueue<AgreementStorage.Event> events = new LinkedBlockingQueue<>();
  private final List<ControlReply> replies = new ArrayList<>();
  private long now;
  private Path folder;
  private AgreementDriver driver;

  /** Creates the only voter of a group, which becomes its leader. */
  @BeforeMethod
  public void createLeader() throws Exception {
    folder = Files.createTempDirectory("voter").resolve("data");
    bootstrap();
    EventLog log = new EventLog(HOST);
    driver =
        AgreementStorage.open(folder, "test", HOST, log, events::add)
            .createDriver(HOST, 1, (host, message) -> {}, state -> {}, log, () -> now);
    driver.start();
    awaitLeader();
    replies.clear();
  }

  /** Guards against a voter that stays out after its disk refused a single write. */
  @Test
  public void acceptsChangesAgainOnceLogIsReopened() throws Exception {
    change("north");
    driver.handleStorageEvent(
        new AgreementStorage.Event.Failed(
            new StorageException(StorageException.Fault.FAILED, "no space left")));
    assertTrue(driver.hasFailed());
    change("south");
    assertEquals(replies.getLast(), new ControlReply.Unavailable());
    LogStore reopened =
        new LogStore(folder.resolve("group-" + GroupId.CONTROL.number()), GroupId.CONTROL);
    LogWriter writer =
        new LogWriter(
            reopened,
            ticket -> events.add(new AgreementStorage.Event.Synced(ticket)),
            failure -> events.add(new AgreementStorage.Event.Failed(failure)));
    driver.handleStorageEvent(new AgreementStorage.Event.Reopened(reopened.recoveredLog(), writer));
    assertFalse(driver.hasFailed());
    awaitLeader();
    assertEquals(driver.state().evacuations().domains(), Set.of("north"));
    change("south");
    assertEquals(driver.state().evacuations().domains(), Set.of("north", "south"));
  }

  /** Guards against changes that are acknowledged before the voters are complete. */
  @Test
  public void defersChangesButNoReads() throws Exception {
    driver.deferChangesWhile(() -> true);
    change("north");
    assertEquals(replies, List.of(new ControlReply.Unavailable()));
    propose(new ControlCommand.ReadCatalog());
    awaitReplies(2);
    assertFalse(replies.getLast() instanceof ControlReply.Unavailable);
  }

  private void change(String domain) throws Exception {
    int before = replies.size();
    long version = driver.state().evacuations().version();
    propose(new ControlCommand.ChangeEvacuation(domain, true, version));
    awaitReplies(before + 1);
  }

  private void propose(ControlCommand command) {
    driver.propose(command, replies::add);
    driver.flush();
  }

  private void awaitReplies(int count) throws InterruptedException {
    for (int i = 0; i < MAX_POLLS && replies.size() < count; i++) {
      step();
    }
    assertEquals(replies.size(), count);
  }

  private void awaitLeader() throws InterruptedException {
    for (int i = 0; i < MAX_POLLS && !driver.isLeader(); i++) {
      step();
    }
    assertTrue(driver.isLeader());
    // The entry with which a leader starts commits the earlier ones.
    int before = replies.size();
    propose(new ControlCommand.ReadCatalog());
    awaitReplies(before + 1);
  }

  private void step() throws InterruptedException {
    now += 10;
    driver.tick();
    AgreementStorage.Event event = events.poll(10, TimeUnit.MILLISECONDS);
    if (event != null) {
      driver.handleStorageEvent(event);
    }
    driver.flush();
  }

  private void bootstrap() throws ServerException {
    VoterId self = new VoterId(HOST, DataFolder.BOOTSTRAP_INCARNATION);
    assertTrue(VoterBootstrap.createDataFolder(folder, "test", HOST, List.of(self)));
  }
}
