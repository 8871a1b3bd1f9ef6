package org.burdockbay.wire;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.agreement.EntryContent;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.RaftMessage;
import org.burdockbay.core.agreement.Snapshot;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.agreement.VoterSet;
import org.burdockbay.wire.proto.Wire;

/** Encodes and decodes Raft messages, log entries and snapshots. */
final class RaftCodec {
  private RaftCodec() {}

  static Wire.Raft encode(GroupId group, RaftMessage message) {
    Wire.Raft.Builder raft =
        Wire.Raft.newBuilder()
            .setGroup(group.number())
            .setFrom(encode(message.from()))
            .setTo(encode(message.to()))
            .setTerm(message.term());
    switch (message) {
      case RaftMessage.VoteRequest request ->
          raft.setVoteRequest(
              Wire.Raft.VoteRequest.newBuilder()
                  .setLastIndex(request.lastLogIndex())
                  .setLastTerm(request.lastLogTerm())
                  .setPreVote(request.preVote())
                  .setTransfer(request.transfer()));
      case RaftMessage.VoteReply reply ->
          raft.setVoteReply(
              Wire.Raft.VoteReply.newBuilder()
                  .setGranted(reply.granted())
                  .setPreVote(reply.preVote()));
      case RaftMessage.AppendRequest request -> raft.setAppendRequest(encodeAppendRequest(request));
      case RaftMessage.AppendReply reply ->
          raft.setAppendReply(
              Wire.Raft.AppendReply.newBuilder()
                  .setAccepted(reply.accepted())
                  .setIndex(reply.index())
                  .setRequestSentAtMs(reply.requestSentAtMillis()));
      case RaftMessage.SnapshotChunk chunk ->
          raft.setSnapshotChunk(
              Wire.Raft.SnapshotChunk.newBuilder()
                  .setSnapshot(encode(chunk.snapshot()))
                  .setOffset(chunk.offset())
                  .setTotalSize(chunk.totalSize()));
      case RaftMessage.SnapshotReply reply ->
          raft.setSnapshotReply(
              Wire.Raft.SnapshotReply.newBuilder()
                  .setSnapshotIndex(reply.snapshotIndex())
                  .setNextOffset(reply.nextOffset()));
      case RaftMessage.TimeoutNow timeout -> raft.setTimeoutNow(true);
    }
    return raft.build();
  }

  static Wire.Voter encode(VoterId voter) {
    return Wire.Voter.newBuilder()
        .setHost(voter.host())
        .setIncarnation(voter.incarnation())
        .build();
  }

  static Wire.Entry encode(LogEntry entry) {
    Wire.Entry.Builder builder =
        Wire.Entry.newBuilder()
            .setIndex(entry.index())
            .setTerm(entry.term())
            .setTimeMs(entry.timeMillis());
    switch (entry.content()) {
      case EntryContent.Noop noop -> builder.setNoop(true);
      case EntryContent.Command command -> builder.setCommand(encode(command.data()));
      case EntryContent.Members members -> builder.setMembers(encode(members.voters()));
    }
    return builder.build();
  }

  static Wire.Snapshot encode(Snapshot snapshot) {
    return Wire.Snapshot.newBuilder()
        .setIndex(snapshot.index())
        .setTerm(snapshot.term())
        .setTimeMs(snapshot.timeMillis())
        .setVoters(encode(snapshot.voters()))
        .setData(encode(snapshot.data()))
        .build();
  }

  private static Wire.Voters encode(VoterSet voters) {
    return Wire.Voters.newBuilder()
        .addAllVoters(voters.voters().stream().map(RaftCodec::encode).toList())
        .addAllLearners(voters.learners().stream().map(RaftCodec::encode).toList())
        .build();
  }

  private static ByteString encode(Bytes bytes) {
    return ByteString.copyFrom(bytes.toArray());
  }

  static RaftMessage decode(Wire.Raft raft) throws WireException {
    VoterId from = decode(raft.getFrom());
    VoterId to = decode(raft.getTo());
    long term = raft.getTerm();
    return switch (raft.getBodyCase()) {
      case VOTE_REQUEST -> {
        Wire.Raft.VoteRequest body = raft.getVoteRequest();
        yield new RaftMessage.VoteRequest(
            from,
            to,
            term,
            body.getLastIndex(),
            body.getLastTerm(),
            body.getPreVote(),
            body.getTransfer());
      }
      case VOTE_REPLY ->
          new RaftMessage.VoteReply(
              from, to, term, raft.getVoteReply().getGranted(), raft.getVoteReply().getPreVote());
      case APPEND_REQUEST -> {
        Wire.Raft.AppendRequest body = raft.getAppendRequest();
        yield new RaftMessage.AppendRequest(
            from,
            to,
            term,
            body.getPrevIndex(),
            body.getPrevTerm(),
            decodeEntries(body.getEntriesList()),
            body.getCommitIndex(),
            body.getSentAtMs());
      }
      case APPEND_REPLY ->
          new RaftMessage.AppendReply(
              from,
              to,
              term,
              raft.getAppendReply().getAccepted(),
              raft.getAppendReply().getIndex(),
              raft.getAppendReply().getRequestSentAtMs());
      case SNAPSHOT_CHUNK -> {
        Wire.Raft.SnapshotChunk body = raft.getSnapshotChunk();
        yield new RaftMessage.SnapshotChunk(
            from, to, term, decode(body.getSnapshot()), body.getOffset(), body.getTotalSize());
      }
      case SNAPSHOT_REPLY ->
          new RaftMessage.SnapshotReply(
              from,
              to,
              term,
              raft.getSnapshotReply().getSnapshotIndex(),
              raft.getSnapshotReply().getNextOffset());
      case TIMEOUT_NOW -> new RaftMessage.TimeoutNow(from, to, term);
      case BODY_NOT_SET -> throw new WireException("Raft message of an unknown kind");
    };
  }

  static VoterId decode(Wire.Voter voter) {
    return new VoterId(voter.getHost(), voter.getIncarnation());
  }

  static LogEntry decode(Wire.Entry entry) throws WireException {
    EntryContent content =
        switch (entry.getContentCase()) {
          case NOOP -> new EntryContent.Noop();
          case COMMAND -> new EntryContent.Command(decode(entry.getCommand()));
          case MEMBERS -> new EntryContent.Members(decode(entry.getMembers()));
          case CONTENT_NOT_SET ->
              throw new WireException(
                  "entry " + entry.getIndex() + " has content of an unknown kind");
        };
    return new LogEntry(entry.getIndex(), entry.getTerm(), entry.getTimeMs(), content);
  }

  static Snapshot decode(Wire.Snapshot snapshot) {
    return new Snapshot(
        snapshot.getIndex(),
        snapshot.getTerm(),
        snapshot.getTimeMs(),
        decode(snapshot.getVoters()),
        decode(snapshot.getData()));
  }

  private static VoterSet decode(Wire.Voters voters) {
    return new VoterSet(
        voters.getVotersList().stream().map(RaftCodec::decode).toList(),
        voters.getLearnersList().stream().map(RaftCodec::decode).toList());
  }

  private static Bytes decode(ByteString bytes) {
    return Bytes.copyOf(bytes.toByteArray());
  }

  private static Wire.Raft.AppendRequest encodeAppendRequest(RaftMessage.AppendRequest request) {
    return Wire.Raft.AppendRequest.newBuilder()
        .setPrevIndex(request.prevLogIndex())
        .setPrevTerm(request.prevLogTerm())
        .addAllEntries(request.entries().stream().map(RaftCodec::encode).toList())
        .setCommitIndex(request.commitIndex())
        .setSentAtMs(request.sentAtMillis())
        .build();
  }

  private static List<LogEntry> decodeEntries(List<Wire.Entry> entries) throws WireException {
    List<LogEntry> decoded = new ArrayList<>(entries.size());
    for (Wire.Entry entry : entries) {
      decoded.add(decode(entry));
    }
    return decoded;
  }
}
