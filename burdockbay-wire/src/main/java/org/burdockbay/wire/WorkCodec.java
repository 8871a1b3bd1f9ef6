package org.burdockbay.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.burdockbay.core.catalog.QueueRule;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.burdockbay.wire.proto.Wire;

/** Encodes and decodes work, its registration and its outcomes. */
final class WorkCodec {

  private WorkCodec() {}

  static Wire.SubmitWork encode(PeerMessage.SubmitWork submit) {
    WorkRequest request = submit.request();
    Wire.SubmitWork.Builder builder =
        Wire.SubmitWork.newBuilder()
            .setId(request.id())
            .setQueue(request.queue())
            .setService(request.service())
            .setPayload(request.payload())
            .setPriority(request.priority())
            .setMaxAttempts(request.maxAttempts())
            .setStretch(request.stretch())
            .setTargetMs(request.targetMillis())
            .setBudgetMs(request.budgetMillis())
            .setAgeMs(submit.ageMillis())
            .setQuietMs(submit.quietPeriodMillis())
            .setTicket(submit.ticket())
            .setToken(submit.token())
            .setShare(request.share())
            .setOrigin(submit.origin());
    request.steps().forEach(step -> builder.addSteps(encode(step)));
    return builder.build();
  }

  static Wire.CancelWork encode(PeerMessage.CancelWork cancel) {
    return Wire.CancelWork.newBuilder().setId(cancel.workId()).setToken(cancel.token()).build();
  }

  static Wire.ReportWork encode(PeerMessage.ReportWork report) {
    Wire.ReportWork.Builder builder = Wire.ReportWork.newBuilder().setId(report.workId());
    switch (report.outcome()) {
      case WorkOutcome.Completed completed -> builder.setCompleted(true);
      case WorkOutcome.Failed failed -> builder.setFailed(failed.reason());
      case WorkOutcome.NotRun notRun ->
          builder.setNotRun(
              Wire.ReportWork.NotRun.newBuilder()
                  .setReason(notRun.reason())
                  .setRetryAfterMs(notRun.retryAfterMillis()));
      case WorkOutcome.GivenUp givenUp -> builder.setGivenUp(givenUp.reason());
    }
    return builder.build();
  }

  static Wire.RegisterWork encode(PeerMessage.RegisterWork register) {
    return Wire.RegisterWork.newBuilder()
        .setId(register.workId())
        .setToken(register.token())
        .setRegistrarToken(register.registrarToken())
        .setUnderWay(register.underWay())
        .build();
  }

  static Wire.ConfirmRegistration encode(PeerMessage.ConfirmRegistration confirm) {
    return Wire.ConfirmRegistration.newBuilder()
        .setId(confirm.workId())
        .setToken(confirm.token())
        .setQuietMs(confirm.quietPeriodMillis())
        .build();
  }

  static Wire.DeferRegistration encode(PeerMessage.DeferRegistration defer) {
    return Wire.DeferRegistration.newBuilder()
        .setId(defer.workId())
        .setToken(defer.token())
        .setHolder(defer.holder())
        .build();
  }

  static Wire.DeregisterWork encode(PeerMessage.DeregisterWork deregister) {
    return Wire.DeregisterWork.newBuilder()
        .setId(deregister.workId())
        .setToken(deregister.token())
        .build();
  }

  static Wire.TaskSize encode(TaskSize size) {
    return Wire.TaskSize.newBuilder()
        .setCpuMillicores(size.cpuMillicores())
        .setMemoryMegabytes(size.memoryMegabytes())
        .setAccelerators(size.accelerators())
        .build();
  }

  private static Wire.WorkStep encode(WorkStep step) {
    return Wire.WorkStep.newBuilder()
        .setTasks(step.taskCount())
        .setSize(encode(step.size()))
        .setEstimateMs(step.estimateMillis())
        .addAllAfter(step.predecessors())
        .setRequiredLabel(step.requiredLabel().orElse(""))
        .setNearRack(step.nearRack().orElse(""))
        .setMostOnOneUpstream(step.maxTasksPerUpstream())
        .build();
  }

  static PeerMessage.SubmitWork decode(Wire.SubmitWork submit) throws WireException {
    List<WorkStep> steps = new ArrayList<>();
    for (Wire.WorkStep step : submit.getStepsList()) {
      steps.add(decode(step));
    }
    WorkRequest request =
        new WorkRequest(
            submit.getId(),
            submit.getQueue(),
            submit.getService(),
            submit.getPayload(),
            steps,
            submit.getPriority(),
            submit.getMaxAttempts(),
            submit.getStretch(),
            submit.getTargetMs(),
            submit.getBudgetMs(),
            decodeShare(submit.getShare()));
    return new PeerMessage.SubmitWork(
        submit.getToken(),
        submit.getTicket(),
        request,
        submit.getAgeMs(),
        submit.getQuietMs(),
        submit.getOrigin());
  }

  static PeerMessage.CancelWork decode(Wire.CancelWork cancel) {
    return new PeerMessage.CancelWork(cancel.getToken(), cancel.getId());
  }

  static PeerMessage.ReportWork decode(Wire.ReportWork report) throws WireException {
    WorkOutcome outcome =
        switch (report.getOutcomeCase()) {
          case COMPLETED -> new WorkOutcome.Completed();
          case FAILED -> new WorkOutcome.Failed(report.getFailed());
          case NOT_RUN ->
              new WorkOutcome.NotRun(
                  report.getNotRun().getReason(), report.getNotRun().getRetryAfterMs());
          case GIVEN_UP -> new WorkOutcome.GivenUp(report.getGivenUp());
          case OUTCOME_NOT_SET -> throw new WireException("work outcome of an unknown kind");
        };
    return new PeerMessage.ReportWork(report.getId(), outcome);
  }

  static PeerMessage.RegisterWork decode(Wire.RegisterWork register) {
    return new PeerMessage.RegisterWork(
        register.getRegistrarToken(),
        register.getToken(),
        register.getId(),
        register.getUnderWay());
  }

  static PeerMessage.ConfirmRegistration decode(Wire.ConfirmRegistration confirm) {
    return new PeerMessage.ConfirmRegistration(
        confirm.getToken(), confirm.getId(), confirm.getQuietMs());
  }

  static PeerMessage.DeferRegistration decode(Wire.DeferRegistration defer) {
    return new PeerMessage.DeferRegistration(defer.getToken(), defer.getId(), defer.getHolder());
  }

  static PeerMessage.DeregisterWork decode(Wire.DeregisterWork deregister) {
    return new PeerMessage.DeregisterWork(deregister.getToken(), deregister.getId());
  }

  static TaskSize decode(Wire.TaskSize size) {
    return new TaskSize(size.getCpuMillicores(), size.getMemoryMegabytes(), size.getAccelerators());
  }

  private static WorkStep decode(Wire.WorkStep step) throws WireException {
    if (step.getTasks() < 1) {
      throw new WireException("work step without tasks");
    }
    return new WorkStep(
        step.getTasks(),
        decode(step.getSize()),
        step.getEstimateMs(),
        step.getAfterList(),
        optionalText(step.getRequiredLabel()),
        optionalText(step.getNearRack()),
        step.getMostOnOneUpstream());
  }

  private static double decodeShare(double share) throws WireException {
    if (!(share >= 0) || Double.isInfinite(share)) {
      throw new WireException("work share out of range: " + share);
    }
    return share == 0 ? QueueRule.DEFAULT_SHARE : share;
  }

  private static Optional<String> optionalText(String text) {
    return text.isEmpty() ? Optional.empty() : Optional.of(text);
  }
}
