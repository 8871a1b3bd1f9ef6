package org.burdockbay.wire;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.OptionalLong;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.catalog.CatalogConfirmation;
import org.burdockbay.core.catalog.CatalogPart;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.wire.proto.Wire;

/** Encodes and decodes messages between hosts. */
public final class PeerCodec {
  private PeerCodec() {}

  /** Encodes a message. */
  public static Wire.Envelope encode(PeerMessage message) {
    Wire.Envelope.Builder envelope = Wire.Envelope.newBuilder();
    switch (message) {
      case PeerMessage.Heartbeat heartbeat -> envelope.setHeartbeat(encode(heartbeat));
      case PeerMessage.Agreement agreement ->
          envelope.setRaft(RaftCodec.encode(agreement.group(), agreement.message()));
      case PeerMessage.Propose propose ->
          envelope.setPropose(
              Wire.Envelope.Propose.newBuilder()
                  .setRequestId(propose.requestId())
                  .setCommand(ControlCodec.encode(propose.command())));
      case PeerMessage.Proposed proposed ->
          envelope.setProposed(
              Wire.Envelope.Proposed.newBuilder()
                  .setRequestId(proposed.requestId())
                  .setReply(ControlCodec.encode(proposed.reply())));
      case PeerMessage.FetchConfiguration fetch ->
          envelope.setFetchConfiguration(fetch.knownVersion());
      case PeerMessage.ConfigurationText text ->
          envelope.setConfigurationText(
              Wire.Envelope.ConfigurationText.newBuilder()
                  .setVersion(text.version())
                  .setText(text.text()));
      case PeerMessage.FetchCatalogPart fetch ->
          envelope.setFetchCatalogPart(
              Wire.Envelope.FetchCatalogPart.newBuilder()
                  .setVersion(fetch.request().version())
                  .setOffset(fetch.request().offset()));
      case PeerMessage.SendCatalogPart send -> envelope.setCatalogPart(catalogPart(send.part()));
      case PeerMessage.SubmitJob submit ->
          envelope.setSubmitJob(SubmissionCodec.encode(submit.request(), submit.arrival()));
      case PeerMessage.FollowJob follow ->
          envelope.setFollowJob(SubmissionCodec.encode(follow.key()));
      case PeerMessage.CancelJob cancel ->
          envelope.setCancelJob(SubmissionCodec.encode(cancel.key()));
      case PeerMessage.ReportJob report ->
          envelope.setReportJob(
              Wire.Envelope.ReportJob.newBuilder()
                  .setKey(SubmissionCodec.encode(report.key()))
                  .setOutcome(SubmissionCodec.encode(report.outcome()))
                  .setDigest(report.digest()));
      case PeerMessage.RedirectJob redirect ->
          envelope.setRedirectJob(
              Wire.Envelope.RedirectJob.newBuilder()
                  .setKey(SubmissionCodec.encode(redirect.key()))
                  .setDomain(redirect.domain()));
      case PeerMessage.ReturnJob returned ->
          envelope.setReturnJob(SubmissionCodec.encode(returned.key()));
      case PeerMessage.SubmitWork submit -> envelope.setSubmitWork(WorkCodec.encode(submit));
      case PeerMessage.CancelWork cancel -> envelope.setCancelWork(WorkCodec.encode(cancel));
      case PeerMessage.WithdrawWork withdraw ->
          extension(envelope).setWithdrawWork(withdraw.workId());
      case PeerMessage.ReportWork report -> envelope.setReportWork(WorkCodec.encode(report));
      case PeerMessage.UpstreamNews news -> envelope.setUpstreamNews(FleetCodec.encode(news));
      case PeerMessage.UpstreamSpeeds speeds ->
          extension(envelope).setUpstreamSpeeds(FleetCodec.encode(speeds));
      case PeerMessage.RegisterWork register ->
          extension(envelope).setRegisterWork(WorkCodec.encode(register));
      case PeerMessage.ConfirmRegistration confirm ->
          extension(envelope).setConfirmRegistration(WorkCodec.encode(confirm));
      case PeerMessage.DeferRegistration defer ->
          extension(envelope).setDeferRegistration(WorkCodec.encode(defer));
      case PeerMessage.DeregisterWork deregister ->
          extension(envelope).setDeregisterWork(WorkCodec.encode(deregister));
      case PeerMessage.KnownHosts known -> envelope.setHostCards(FleetCodec.encode(known));
    }
    return envelope.build();
  }

  private static Wire.HostStatus encode(PeerMessage.Heartbeat heartbeat) {
    HostStatus status = heartbeat.status();
    Wire.HostStatus.Builder message = Wire.HostStatus.newBuilder();
    heartbeat
        .catalogConfirmation()
        .map(PeerCodec::encode)
        .ifPresent(message::setCatalogConfirmation);
    return message
        .setHost(status.host())
        .setDomain(status.domain())
        .setIncarnation(status.incarnation())
        .setStorageIncarnation(status.storageIncarnation())
        .setConfigurationVersion(status.configurationVersion())
        .setDispatcherEpoch(status.dispatcherEpoch())
        .setHighestEpoch(status.highestEpoch())
        .setDraining(status.draining())
        .setLeader(status.leader())
        .setFreeSlots(status.load().freeSlots())
        .setWaitMs(status.load().waitMillis())
        .setTotalSlots(status.load().totalSlots())
        .setHeardAgoMsPlusOne(heartbeat.lastContactAgeMillis().orElse(-1) + 1)
        .setFailureDomain(status.failureDomain())
        .setShardsPerDomain(status.layout().shardsPerDomain())
        .setShardDomain(status.shard().domain())
        .setShardIndex(status.shard().index())
        .setEvacuations(ControlCodec.encode(status.evacuations()))
        .setWeight(status.weight())
        .setSentAtMs(heartbeat.sentAtMillis().orElse(0))
        .build();
  }

  private static Wire.CatalogConfirmation encode(CatalogConfirmation confirmation) {
    return Wire.CatalogConfirmation.newBuilder()
        .setVersion(confirmation.version())
        .setAgeMsPlusOne(confirmation.ageMillis().orElse(-1) + 1)
        .setEchoedSentAtMs(confirmation.echoedSentAtMillis().orElse(0))
        .setEchoAgeMs(confirmation.echoAgeMillis())
        .build();
  }

  /**
   * Prepares an envelope for a message that hosts of earlier versions don't know. They read it as
   * empty news, and would close the connection if it had no body that they know.
   */
  private static Wire.Envelope.Builder extension(Wire.Envelope.Builder envelope) {
    return envelope.setUpstreamNews(Wire.UpstreamNews.getDefaultInstance());
  }

  /**
   * Decodes a message.
   *
   * @throws WireException if the message is invalid or of a kind unknown to this version
   */
  public static PeerMessage decode(Wire.Envelope envelope) throws WireException {
    return switch (envelope.getBodyCase()) {
      case HEARTBEAT -> decodeHeartbeat(envelope.getHeartbeat());
      case RAFT ->
          new PeerMessage.Agreement(
              new GroupId(envelope.getRaft().getGroup()), RaftCodec.decode(envelope.getRaft()));
      case PROPOSE ->
          new PeerMessage.Propose(
              envelope.getPropose().getRequestId(),
              ControlCodec.decode(envelope.getPropose().getCommand()));
      case PROPOSED ->
          new PeerMessage.Proposed(
              envelope.getProposed().getRequestId(),
              ControlCodec.decode(envelope.getProposed().getReply()));
      case FETCH_CONFIGURATION ->
          new PeerMessage.FetchConfiguration(envelope.getFetchConfiguration());
      case CONFIGURATION_TEXT ->
          new PeerMessage.ConfigurationText(
              envelope.getConfigurationText().getVersion(),
              envelope.getConfigurationText().getText());
      case FETCH_CATALOG_PART ->
          new PeerMessage.FetchCatalogPart(
              new CatalogPart.Request(
                  envelope.getFetchCatalogPart().getVersion(),
                  envelope.getFetchCatalogPart().getOffset()));
      case CATALOG_PART -> new PeerMessage.SendCatalogPart(catalogPart(envelope.getCatalogPart()));
      case SUBMIT_JOB ->
          new PeerMessage.SubmitJob(
              SubmissionCodec.decode(envelope.getSubmitJob()),
              SubmissionCodec.decodeArrival(envelope.getSubmitJob()));
      case FOLLOW_JOB -> new PeerMessage.FollowJob(SubmissionCodec.decode(envelope.getFollowJob()));
      case CANCEL_JOB -> new PeerMessage.CancelJob(SubmissionCodec.decode(envelope.getCancelJob()));
      case REPORT_JOB ->
          new PeerMessage.ReportJob(
              SubmissionCodec.decode(envelope.getReportJob().getKey()),
              envelope.getReportJob().getDigest(),
              SubmissionCodec.decode(envelope.getReportJob().getOutcome()));
      case REDIRECT_JOB ->
          new PeerMessage.RedirectJob(
              SubmissionCodec.decode(envelope.getRedirectJob().getKey()),
              envelope.getRedirectJob().getDomain());
      case RETURN_JOB -> new PeerMessage.ReturnJob(SubmissionCodec.decode(envelope.getReturnJob()));
      case SUBMIT_WORK -> WorkCodec.decode(envelope.getSubmitWork());
      case CANCEL_WORK -> WorkCodec.decode(envelope.getCancelWork());
      case REPORT_WORK -> WorkCodec.decode(envelope.getReportWork());
      case UPSTREAM_NEWS -> decodeNewsOrExtension(envelope);
      case HOST_CARDS -> FleetCodec.decode(envelope.getHostCards());
      case HELLO, PROOF, PING, PONG, BODY_NOT_SET ->
          throw new WireException("peer message of an unknown kind: " + envelope.getBodyCase());
    };
  }

  private static HostStatus decode(Wire.HostStatus status) {
    return new HostStatus(
        status.getHost(),
        status.getDomain(),
        status.getIncarnation(),
        status.getStorageIncarnation(),
        status.getConfigurationVersion(),
        status.getDispatcherEpoch(),
        status.getHighestEpoch(),
        status.getDraining(),
        status.getLeader(),
        new DomainLoad(status.getFreeSlots(), status.getWaitMs(), status.getTotalSlots()),
        status.getFailureDomain(),
        new ShardLayout(status.getShardsPerDomain()),
        new ShardId(status.getShardDomain(), status.getShardIndex()),
        ControlCodec.decode(status.getEvacuations()),
        status.getWeight());
  }

  private static PeerMessage decodeNewsOrExtension(Wire.Envelope envelope) throws WireException {
    return switch (envelope.getExtensionCase()) {
      case UPSTREAM_SPEEDS -> FleetCodec.decode(envelope.getUpstreamSpeeds());
      case REGISTER_WORK -> WorkCodec.decode(envelope.getRegisterWork());
      case CONFIRM_REGISTRATION -> WorkCodec.decode(envelope.getConfirmRegistration());
      case DEFER_REGISTRATION -> WorkCodec.decode(envelope.getDeferRegistration());
      case DEREGISTER_WORK -> WorkCodec.decode(envelope.getDeregisterWork());
      case WITHDRAW_WORK -> new PeerMessage.WithdrawWork(envelope.getWithdrawWork());
      case EXTENSION_NOT_SET -> FleetCodec.decode(envelope.getUpstreamNews());
    };
  }

  private static Wire.Envelope.CatalogPart catalogPart(CatalogPart part) {
    return Wire.Envelope.CatalogPart.newBuilder()
        .setVersion(part.version())
        .setSize(part.totalSize())
        .setOffset(part.offset())
        .setData(ByteString.copyFrom(part.data().toArray()))
        .build();
  }

  private static CatalogPart catalogPart(Wire.Envelope.CatalogPart part) {
    return new CatalogPart(
        part.getVersion(),
        part.getSize(),
        part.getOffset(),
        Bytes.copyOf(part.getData().toByteArray()));
  }

  private static PeerMessage.Heartbeat decodeHeartbeat(Wire.HostStatus status) {
    return new PeerMessage.Heartbeat(
        decode(status),
        decodePlusOne(status.getHeardAgoMsPlusOne()),
        decodeTime(status.getSentAtMs()),
        status.hasCatalogConfirmation()
            ? Optional.of(decodeConfirmation(status.getCatalogConfirmation()))
            : Optional.empty());
  }

  private static CatalogConfirmation decodeConfirmation(Wire.CatalogConfirmation confirmation) {
    return new CatalogConfirmation(
        confirmation.getVersion(),
        decodePlusOne(confirmation.getAgeMsPlusOne()),
        decodeTime(confirmation.getEchoedSentAtMs()),
        confirmation.getEchoAgeMs());
  }

  private static OptionalLong decodePlusOne(long millisPlusOne) {
    return millisPlusOne == 0 ? OptionalLong.empty() : OptionalLong.of(millisPlusOne - 1);
  }

  private static OptionalLong decodeTime(long millis) {
    return millis == 0 ? OptionalLong.empty() : OptionalLong.of(millis);
  }
}
