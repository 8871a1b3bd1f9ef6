package org.burdockbay.wire;

import org.burdockbay.core.dispatch.Arrival;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.burdockbay.wire.proto.Wire;

/** Encodes and decodes submissions, jobs and their outcomes. */
final class SubmissionCodec {
  private SubmissionCodec() {}

  static Wire.Key encode(SubmissionKey key) {
    return Wire.Key.newBuilder().setCaller(key.caller()).setSubmission(key.submission()).build();
  }

  static Wire.Runner encode(RunnerId runner) {
    return Wire.Runner.newBuilder()
        .setName(runner.name())
        .setIncarnation(runner.incarnation())
        .build();
  }

  static Wire.Outcome encode(JobOutcome outcome) {
    return switch (outcome) {
      case JobOutcome.Completed completed ->
          Wire.Outcome.newBuilder().setCompleted(true).addAllAnswers(completed.answers()).build();
      case JobOutcome.Failed failed ->
          Wire.Outcome.newBuilder()
              .setKind(failed.kind().code())
              .setDetail(failed.detail())
              .setRetryAfterMs(failed.retryAfterMillis())
              .build();
    };
  }

  static Wire.JobRequest encode(JobRequest request, Arrival arrival) {
    return Wire.JobRequest.newBuilder()
        .setKey(encode(request.key()))
        .setDigest(request.digest())
        .setJob(request.job())
        .addAllTasks(request.tasks())
        .setRemainingMs(request.remainingMillis())
        .setKeyed(request.keyed())
        .setArrival(arrival.name())
        .build();
  }

  static SubmissionKey decode(Wire.Key key) {
    return new SubmissionKey(key.getCaller(), key.getSubmission());
  }

  static RunnerId decode(Wire.Runner runner) {
    return new RunnerId(runner.getName(), runner.getIncarnation());
  }

  static JobOutcome decode(Wire.Outcome outcome) throws WireException {
    if (outcome.getCompleted()) {
      return new JobOutcome.Completed(outcome.getAnswersList());
    }
    ErrorKind kind =
        ErrorKind.ofCode(outcome.getKind())
            .orElseThrow(() -> new WireException("unknown error kind '" + outcome.getKind() + "'"));
    return new JobOutcome.Failed(kind, outcome.getDetail(), outcome.getRetryAfterMs());
  }

  static JobRequest decode(Wire.JobRequest request) {
    return new JobRequest(
        decode(request.getKey()),
        request.getDigest(),
        request.getJob(),
        request.getTasksList(),
        request.getRemainingMs(),
        request.getKeyed());
  }

  static Arrival decodeArrival(Wire.JobRequest request) throws WireException {
    try {
      return Arrival.valueOf(request.getArrival());
    } catch (IllegalArgumentException e) {
      throw new WireException("unknown arrival '" + request.getArrival() + "'", e);
    }
  }
}
