package org.burdockbay.core.lease;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.burdockbay.core.work.RunId;

/**
 * Limits the memory of starts that are under way to upstreams.
 *
 * <p>Each start occupies a connection and carries a copy of the payload, so many small tasks of one
 * piece of work could otherwise exhaust memory and file descriptors at once.
 */
final class UnansweredStarts {

  /** Memory of a call and its connection, in bytes. */
  private static final long CALL_BYTES = 8 * 1024;

  /** Number of copies of the payload while a call is encoded and sent. */
  private static final long PAYLOAD_COPIES = 3;

  private final long limitBytes;

  /** Time after which a start without any answer or failure no longer counts, in milliseconds. */
  private final long timeoutMillis;

  private final Map<RunId, Call> calls = new LinkedHashMap<>();
  private long usedBytes;

  UnansweredStarts(long limitBytes, LeaseTiming timing) {
    this.limitBytes = limitBytes;
    this.timeoutMillis = 2 * timing.answerTimeoutMillis();
  }

  /** Returns whether another start may be sent; one start is always possible. */
  boolean hasRoom(String payload) {
    return calls.isEmpty() || bytes(payload) <= limitBytes - usedBytes;
  }

  /** Records a start, or another copy of it, that is being sent. */
  void sent(RunId run, String payload, long now) {
    Call call = calls.computeIfAbsent(run, id -> new Call());
    call.copies++;
    call.sentAt = now;
    call.bytes += bytes(payload);
    usedBytes += bytes(payload);
  }

  /** Records that a copy of a start was answered or has failed. */
  void answered(RunId run) {
    Call call = calls.get(run);
    if (call != null) {
      long released = call.bytes / call.copies;
      call.copies--;
      call.bytes -= released;
      usedBytes -= released;
      if (call.copies == 0) {
        calls.remove(run);
      }
    }
  }

  void tick(long now) {
    Iterator<Call> iterator = calls.values().iterator();
    while (iterator.hasNext()) {
      Call call = iterator.next();
      if (now - call.sentAt > timeoutMillis) {
        usedBytes -= call.bytes;
        iterator.remove();
      }
    }
  }

  private static long bytes(String payload) {
    return CALL_BYTES + PAYLOAD_COPIES * payload.length();
  }

  private static final class Call {

    private int copies;
    private long bytes;
    private long sentAt;
  }
}
