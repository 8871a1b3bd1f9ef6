package org.burdockbay.server.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.burdockbay.wire.PeerCodec;
import org.testng.annotations.Test;

/** Tests the encoding of submitted work in peer messages. */
public class WorkCodecTest {

  /** Guards against lost fields of submitted work. */
  @Test
  public void keepsEveryFieldOfSubmissions() throws Exception {
    PeerMessage.SubmitWork submit = new PeerMessage.SubmitWork(1, 2, request(2.5), 3, 4, "north");
    assertEquals(PeerCodec.decode(PeerCodec.encode(submit)), submit);
  }

  /** Guards against a share of 0, which older hosts send: work would then never be served. */
  @Test
  public void readsMissingShareAsOne() throws Exception {
    PeerMessage.SubmitWork submit = new PeerMessage.SubmitWork(1, 2, request(0), 3, 4);
    PeerMessage.SubmitWork decoded =
        (PeerMessage.SubmitWork) PeerCodec.decode(PeerCodec.encode(submit));
    assertEquals(decoded.request().share(), 1.0);
    assertTrue(decoded.origin().isEmpty());
  }

  private static WorkRequest request(double share) {
    WorkStep step = WorkStep.of(2, new TaskSize(1_000, 64, 0), 50);
    return new WorkRequest("w", "q", "desk", "x", List.of(step), 1, 2, 1.6, 60, 1_500, share);
  }
}
