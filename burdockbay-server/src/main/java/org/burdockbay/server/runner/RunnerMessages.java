package org.burdockbay.server.runner;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptReport;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.submission.AttemptId;
import org.jspecify.annotations.Nullable;

/** The JSON bodies of the runner protocol; docs/PROTOCOLS.md describes them. */
public final class RunnerMessages {

  private RunnerMessages() {}

  /** Body of an announcement. */
  public record Announce(
      String runner,
      long incarnation,
      String domain,
      String address,
      List<String> services,
      @Nullable List<String> labels,
      int slots,
      boolean leaving) {}

  /** Answer to an announcement. */
  public record Announced(String host, String domain, long dispatcherEpoch, long renewMillis) {}

  /** Body of a start call. */
  public record Start(
      String attempt,
      long incarnation,
      long epoch,
      String job,
      String payload,
      long timeoutMillis) {}

  /** Body of a query about an attempt. */
  public record Query(String attempt, long incarnation, long epoch, long waitMillis) {}

  /** Body of a cancellation. */
  public record Cancel(long epoch, List<String> attempts) {}

  /** Body of a fence call. */
  public record Fence(String domain, long epoch, long incarnation) {}

  /** Answer to a fence call: the runner's inventory. */
  public record Inventory(long epoch, List<Attempt> attempts) {}

  /** State of an attempt; {@code status} is one of the constants of this class. */
  @JsonInclude(JsonInclude.Include.NON_DEFAULT)
  public record Attempt(
      @Nullable String attempt,
      String status,
      @Nullable String answer,
      @Nullable String reason,
      long epoch) {

    /** Returns the outcome of a start call. */
    public AttemptOutcome toOutcome() {
      return switch (status) {
        case SUCCEEDED -> new AttemptOutcome.Succeeded(Optional.ofNullable(answer).orElse("null"));
        case FAILED -> new AttemptOutcome.Failed(text(reason));
        case REJECTED -> new AttemptOutcome.Rejected(text(reason));
        case FENCED -> new AttemptOutcome.Fenced(epoch);
        default -> new AttemptOutcome.Uncertain("the runner answered '" + status + "'");
      };
    }

    /** Returns the status of a queried attempt. */
    public AttemptStatus toStatus() {
      return switch (status) {
        case RUNNING -> new AttemptStatus.Running();
        case NEVER_BEGAN -> new AttemptStatus.NeverBegan();
        case SUCCEEDED, FAILED -> new AttemptStatus.Finished(toOutcome());
        default -> new AttemptStatus.Unreachable("the runner answered '" + status + "'");
      };
    }

    /** Returns the inventory entry, or empty if the attempt id is invalid. */
    public Optional<AttemptReport> toReport() {
      return AttemptId.parse(text(attempt)).map(id -> new AttemptReport(id, toStatus()));
    }

    private static String text(@Nullable String value) {
      return value == null ? "" : value;
    }
  }

  /** The attempt is running. */
  public static final String RUNNING = "running";

  /** The attempt ran and answered. */
  public static final String SUCCEEDED = "succeeded";

  /** The attempt ran and failed. */
  public static final String FAILED = "failed";

  /** The attempt has not started and will not start. */
  public static final String REJECTED = "rejected";

  /** The runner has accepted a higher epoch. */
  public static final String FENCED = "fenced";

  /** The runner has not received the attempt and rejects it from now on. */
  public static final String NEVER_BEGAN = "never-began";
}
