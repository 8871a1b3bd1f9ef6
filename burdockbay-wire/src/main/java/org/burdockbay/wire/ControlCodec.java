package org.burdockbay.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlImage;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.dispatch.LedgerRequest;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.ledger.LedgerCommand;
import org.burdockbay.core.ledger.LedgerImage;
import org.burdockbay.core.ledger.LedgerReply;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.wire.proto.Wire;

/** Encodes and decodes commands, replies and snapshots of the replicated control state. */
public final class ControlCodec {
  private ControlCodec() {}

  /** Encodes a command for the Raft log. */
  public static Bytes toBytes(ControlCommand command) {
    return Bytes.copyOf(encode(command).toByteArray());
  }

  /** Encodes the control state for a snapshot. */
  public static Bytes toBytes(ControlImage image) {
    Wire.ControlImage.Builder builder = Wire.ControlImage.newBuilder();
    for (ControlImage.ConfigurationVersion version : image.configuration()) {
      builder.addConfiguration(
          Wire.ControlImage.ConfigurationVersion.newBuilder()
              .setVersion(version.version())
              .setText(version.text())
              .setChangeId(version.changeId())
              .setOperator(version.operator())
              .setAcceptedAt(version.acceptedAt()));
    }
    for (ControlImage.AcceptedChange change : image.changes()) {
      builder.addChanges(
          Wire.ControlImage.AcceptedChange.newBuilder()
              .setChangeId(change.changeId())
              .setVersion(change.version()));
    }
    for (LedgerImage.DomainRecord domain : image.ledger().domains()) {
      builder.addDomains(
          Wire.ControlImage.DomainRecord.newBuilder()
              .setDomain(domain.domain())
              .setEpoch(domain.epoch())
              .addAllRoster(domain.roster().stream().map(SubmissionCodec::encode).toList()));
    }
    for (LedgerImage.SubmissionRecord record : image.ledger().records()) {
      builder.addSubmissions(encode(record));
    }
    builder.setCatalog(encode(image.catalog()));
    builder.setEvacuations(encode(image.evacuations()));
    return Bytes.copyOf(builder.build().toByteArray());
  }

  /**
   * Decodes a command of the Raft log.
   *
   * @throws WireException if the bytes aren't a known command
   */
  public static ControlCommand decodeCommand(Bytes bytes) throws WireException {
    try {
      return decode(Wire.ControlCommand.parseFrom(bytes.toArray()));
    } catch (InvalidProtocolBufferException e) {
      throw new WireException("malformed control command", e);
    }
  }

  /**
   * Decodes the control state of a snapshot.
   *
   * @throws WireException if the bytes aren't a control state
   */
  public static ControlImage decodeImage(Bytes bytes) throws WireException {
    try {
      return decode(Wire.ControlImage.parseFrom(bytes.toArray()));
    } catch (InvalidProtocolBufferException e) {
      throw new WireException("malformed snapshot of the control state", e);
    }
  }

  static Wire.ControlCommand encode(ControlCommand command) {
    return switch (command) {
      case ControlCommand.LedgerOperation operation ->
          Wire.ControlCommand.newBuilder().setLedger(encode(operation.command())).build();
      case ControlCommand.ApplyConfiguration apply ->
          Wire.ControlCommand.newBuilder()
              .setApply(
                  Wire.ApplyConfiguration.newBuilder()
                      .setChangeId(apply.changeId())
                      .setOperator(apply.operator())
                      .setExpectedVersion(apply.expectedVersion())
                      .setText(apply.text()))
              .build();
      case ControlCommand.PublishCatalog publish ->
          Wire.ControlCommand.newBuilder().setPublishCatalog(encode(publish.catalog())).build();
      case ControlCommand.ChangeEvacuation change ->
          Wire.ControlCommand.newBuilder()
              .setChangeEvacuation(
                  Wire.ChangeEvacuation.newBuilder()
                      .setDomain(change.domain())
                      .setEvacuated(change.evacuated())
                      .setExpectedVersion(change.expectedVersion()))
              .build();
      case ControlCommand.ReadCatalog read ->
          Wire.ControlCommand.newBuilder().setReadCatalog(true).build();
    };
  }

  static Wire.ControlReply encode(ControlReply reply) {
    Wire.ControlReply.Builder builder = Wire.ControlReply.newBuilder();
    switch (reply) {
      case ControlReply.LedgerResult result -> builder.setLedger(encode(result.reply()));
      case ControlReply.Accepted accepted -> builder.setAccepted(accepted.version());
      case ControlReply.VersionConflict conflict ->
          builder.setVersionConflict(conflict.currentVersion());
      case ControlReply.Unavailable unavailable -> builder.setUnavailable(true);
      case ControlReply.CatalogContent read -> builder.setCatalog(encode(read.catalog()));
    }
    return builder.build();
  }

  private static Wire.LedgerCommand encode(LedgerCommand command) {
    Wire.LedgerCommand.Builder builder =
        Wire.LedgerCommand.newBuilder().setDomain(command.domain());
    switch (command.request()) {
      case LedgerRequest.Register register -> builder.setEpoch(register.epoch()).setRegister(true);
      case LedgerRequest.AddRunner add ->
          builder.setEpoch(add.epoch()).setAddRunner(SubmissionCodec.encode(add.runner()));
      case LedgerRequest.RemoveRunner remove ->
          builder.setEpoch(remove.epoch()).setRemoveRunner(SubmissionCodec.encode(remove.runner()));
      case LedgerRequest.Open open ->
          builder
              .setEpoch(open.epoch())
              .setOpen(
                  Wire.LedgerCommand.Open.newBuilder()
                      .setKey(SubmissionCodec.encode(open.key()))
                      .setDigest(open.digest())
                      .setTasks(open.tasks()));
      case LedgerRequest.Lookup lookup ->
          builder.setLookup(
              Wire.LedgerCommand.Lookup.newBuilder()
                  .setKey(SubmissionCodec.encode(lookup.key()))
                  .setDigest(lookup.digest()));
      case LedgerRequest.Close close ->
          builder
              .setEpoch(close.epoch())
              .setClose(
                  Wire.LedgerCommand.Close.newBuilder()
                      .setKey(SubmissionCodec.encode(close.key()))
                      .setOutcome(SubmissionCodec.encode(close.outcome())));
    }
    return builder.build();
  }

  private static Wire.LedgerReply encode(LedgerReply reply) {
    Wire.LedgerReply.Builder builder = Wire.LedgerReply.newBuilder();
    switch (reply) {
      case LedgerReply.Granted granted -> builder.setGranted(true);
      case LedgerReply.Registered registered -> builder.setRegistered(encode(registered));
      case LedgerReply.Unknown unknown -> builder.setUnknown(true);
      case LedgerReply.OpenElsewhere elsewhere -> builder.setOpenElsewhere(elsewhere.domain());
      case LedgerReply.Closed closed -> builder.setClosed(SubmissionCodec.encode(closed.outcome()));
      case LedgerReply.ContentMismatch mismatch -> builder.setOtherContent(true);
      case LedgerReply.Fenced fenced -> builder.setFenced(fenced.epoch());
      case LedgerReply.Full full -> builder.setFull(true);
      case LedgerReply.Unavailable unavailable -> builder.setUnavailable(true);
    }
    return builder.build();
  }

  private static Wire.LedgerReply.Registered encode(LedgerReply.Registered registered) {
    Wire.LedgerReply.Registered.Builder builder =
        Wire.LedgerReply.Registered.newBuilder()
            .addAllRoster(registered.roster().stream().map(SubmissionCodec::encode).toList());
    for (LedgerReply.OpenSubmission open : registered.open()) {
      builder.addOpen(
          Wire.LedgerReply.OpenSubmission.newBuilder()
              .setKey(SubmissionCodec.encode(open.key()))
              .setDigest(open.digest())
              .setTasks(open.tasks()));
    }
    return builder.build();
  }

  private static Wire.ControlImage.SubmissionRecord encode(LedgerImage.SubmissionRecord record) {
    Wire.ControlImage.SubmissionRecord.Builder builder =
        Wire.ControlImage.SubmissionRecord.newBuilder()
            .setKey(SubmissionCodec.encode(record.key()))
            .setDigest(record.digest())
            .setTasks(record.tasks())
            .setDomain(record.domain())
            .setClosedAt(record.closedAt());
    record.outcome().ifPresent(outcome -> builder.setOutcome(SubmissionCodec.encode(outcome)));
    return builder.build();
  }

  private static Wire.CatalogDocument encode(CompressedCatalog catalog) {
    return Wire.CatalogDocument.newBuilder()
        .setVersion(catalog.version())
        .setPacked(ByteString.copyFrom(catalog.data().toArray()))
        .build();
  }

  static Wire.Evacuations encode(Evacuations evacuations) {
    return Wire.Evacuations.newBuilder()
        .setVersion(evacuations.version())
        .addAllDomains(evacuations.domains())
        .build();
  }

  static Evacuations decode(Wire.Evacuations evacuations) {
    return new Evacuations(evacuations.getVersion(), Set.copyOf(evacuations.getDomainsList()));
  }

  private static CompressedCatalog decode(Wire.CatalogDocument document) {
    return document.getPacked().isEmpty()
        ? CompressedCatalog.of(document.getVersion(), document.getText())
        : new CompressedCatalog(
            document.getVersion(), Bytes.copyOf(document.getPacked().toByteArray()));
  }

  static ControlCommand decode(Wire.ControlCommand command) throws WireException {
    return switch (command.getCommandCase()) {
      case LEDGER -> new ControlCommand.LedgerOperation(decode(command.getLedger()));
      case APPLY -> {
        Wire.ApplyConfiguration apply = command.getApply();
        yield new ControlCommand.ApplyConfiguration(
            apply.getChangeId(), apply.getOperator(), apply.getExpectedVersion(), apply.getText());
      }
      case PUBLISH_CATALOG ->
          new ControlCommand.PublishCatalog(decode(command.getPublishCatalog()));
      case READ_CATALOG -> new ControlCommand.ReadCatalog();
      case CHANGE_EVACUATION ->
          new ControlCommand.ChangeEvacuation(
              command.getChangeEvacuation().getDomain(),
              command.getChangeEvacuation().getEvacuated(),
              command.getChangeEvacuation().getExpectedVersion());
      case COMMAND_NOT_SET -> throw new WireException("control command of an unknown kind");
    };
  }

  static ControlReply decode(Wire.ControlReply reply) throws WireException {
    return switch (reply.getReplyCase()) {
      case LEDGER -> new ControlReply.LedgerResult(decode(reply.getLedger()));
      case ACCEPTED -> new ControlReply.Accepted(reply.getAccepted());
      case VERSION_CONFLICT -> new ControlReply.VersionConflict(reply.getVersionConflict());
      case UNAVAILABLE -> new ControlReply.Unavailable();
      case CATALOG -> new ControlReply.CatalogContent(decode(reply.getCatalog()));
      case REPLY_NOT_SET -> throw new WireException("control reply of an unknown kind");
    };
  }

  private static LedgerCommand decode(Wire.LedgerCommand command) throws WireException {
    long epoch = command.getEpoch();
    LedgerRequest request =
        switch (command.getRequestCase()) {
          case REGISTER -> new LedgerRequest.Register(epoch);
          case ADD_RUNNER ->
              new LedgerRequest.AddRunner(epoch, SubmissionCodec.decode(command.getAddRunner()));
          case REMOVE_RUNNER ->
              new LedgerRequest.RemoveRunner(
                  epoch, SubmissionCodec.decode(command.getRemoveRunner()));
          case OPEN ->
              new LedgerRequest.Open(
                  epoch,
                  SubmissionCodec.decode(command.getOpen().getKey()),
                  command.getOpen().getDigest(),
                  command.getOpen().getTasks());
          case LOOKUP ->
              new LedgerRequest.Lookup(
                  SubmissionCodec.decode(command.getLookup().getKey()),
                  command.getLookup().getDigest());
          case CLOSE ->
              new LedgerRequest.Close(
                  epoch,
                  SubmissionCodec.decode(command.getClose().getKey()),
                  SubmissionCodec.decode(command.getClose().getOutcome()));
          case REQUEST_NOT_SET -> throw new WireException("ledger command of an unknown kind");
        };
    return new LedgerCommand(command.getDomain(), request);
  }

  private static LedgerReply decode(Wire.LedgerReply reply) throws WireException {
    return switch (reply.getReplyCase()) {
      case GRANTED -> new LedgerReply.Granted();
      case REGISTERED -> decode(reply.getRegistered());
      case UNKNOWN -> new LedgerReply.Unknown();
      case OPEN_ELSEWHERE -> new LedgerReply.OpenElsewhere(reply.getOpenElsewhere());
      case CLOSED -> new LedgerReply.Closed(SubmissionCodec.decode(reply.getClosed()));
      case OTHER_CONTENT -> new LedgerReply.ContentMismatch();
      case FENCED -> new LedgerReply.Fenced(reply.getFenced());
      case FULL -> new LedgerReply.Full();
      case UNAVAILABLE -> new LedgerReply.Unavailable();
      case REPLY_NOT_SET -> throw new WireException("ledger reply of an unknown kind");
    };
  }

  private static LedgerReply.Registered decode(Wire.LedgerReply.Registered registered) {
    return new LedgerReply.Registered(
        registered.getRosterList().stream().map(SubmissionCodec::decode).toList(),
        registered.getOpenList().stream()
            .map(
                open ->
                    new LedgerReply.OpenSubmission(
                        SubmissionCodec.decode(open.getKey()), open.getDigest(), open.getTasks()))
            .toList());
  }

  private static ControlImage decode(Wire.ControlImage image) throws WireException {
    List<LedgerImage.SubmissionRecord> records = new ArrayList<>();
    for (Wire.ControlImage.SubmissionRecord record : image.getSubmissionsList()) {
      Optional<JobOutcome> outcome =
          record.hasOutcome()
              ? Optional.of(SubmissionCodec.decode(record.getOutcome()))
              : Optional.empty();
      records.add(
          new LedgerImage.SubmissionRecord(
              SubmissionCodec.decode(record.getKey()),
              record.getDigest(),
              record.getTasks(),
              record.getDomain(),
              record.getClosedAt(),
              outcome));
    }
    List<LedgerImage.DomainRecord> domains =
        image.getDomainsList().stream()
            .map(
                domain ->
                    new LedgerImage.DomainRecord(
                        domain.getDomain(),
                        domain.getEpoch(),
                        domain.getRosterList().stream().map(SubmissionCodec::decode).toList()))
            .toList();
    return new ControlImage(
        image.getConfigurationList().stream()
            .map(
                version ->
                    new ControlImage.ConfigurationVersion(
                        version.getVersion(),
                        version.getText(),
                        version.getChangeId(),
                        version.getOperator(),
                        version.getAcceptedAt()))
            .toList(),
        image.getChangesList().stream()
            .map(
                change ->
                    new ControlImage.AcceptedChange(change.getChangeId(), change.getVersion()))
            .toList(),
        new LedgerImage(domains, records),
        decode(image.getCatalog()),
        decode(image.getEvacuations()));
  }
}
