package org.burdockbay.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.burdockbay.core.agreement.HardState;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.Snapshot;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.wire.proto.Wire;

/** Encodes and decodes the records of segment and snapshot files. */
public final class LogRecordCodec {

  private LogRecordCodec() {}

  /** Encodes the group of a segment and the index and term of the entry before it. */
  public static byte[] base(int group, long index, long term) {
    Wire.LogRecord.Base base =
        Wire.LogRecord.Base.newBuilder().setGroup(group).setIndex(index).setTerm(term).build();
    return Wire.LogRecord.newBuilder().setBase(base).build().toByteArray();
  }

  /** Encodes the current term and vote. */
  public static byte[] hardState(HardState state) {
    Wire.LogRecord.HardState.Builder builder =
        Wire.LogRecord.HardState.newBuilder().setTerm(state.term());
    state.votedFor().ifPresent(voter -> builder.setVotedFor(RaftCodec.encode(voter)));
    return Wire.LogRecord.newBuilder().setHardState(builder).build().toByteArray();
  }

  /** Encodes the removal of all entries from an index on. */
  public static byte[] truncateFrom(long index) {
    return Wire.LogRecord.newBuilder().setTruncateFrom(index).build().toByteArray();
  }

  /** Encodes an entry. */
  public static byte[] entry(LogEntry entry) {
    return Wire.LogRecord.newBuilder().setEntry(RaftCodec.encode(entry)).build().toByteArray();
  }

  /** Encodes a snapshot. */
  public static byte[] snapshot(Snapshot snapshot) {
    return RaftCodec.encode(snapshot).toByteArray();
  }

  /**
   * Decodes a snapshot.
   *
   * @throws WireException if the bytes aren't a snapshot
   */
  public static Snapshot snapshot(byte[] bytes) throws WireException {
    try {
      return RaftCodec.decode(Wire.Snapshot.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      throw new WireException("malformed snapshot", e);
    }
  }

  /**
   * Decodes a record of a segment and passes it to the visitor.
   *
   * @throws WireException if the record is malformed, of an unknown kind or refused by the visitor
   */
  public static void decode(byte[] bytes, Visitor visitor) throws WireException {
    Wire.LogRecord record;
    try {
      record = Wire.LogRecord.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new WireException("malformed log record", e);
    }
    switch (record.getRecordCase()) {
      case BASE -> {
        Wire.LogRecord.Base base = record.getBase();
        visitor.visitBase(base.getGroup(), base.getIndex(), base.getTerm());
      }
      case HARD_STATE -> {
        Wire.LogRecord.HardState state = record.getHardState();
        Optional<VoterId> vote =
            state.hasVotedFor()
                ? Optional.of(RaftCodec.decode(state.getVotedFor()))
                : Optional.empty();
        visitor.visitHardState(new HardState(state.getTerm(), vote));
      }
      case TRUNCATE_FROM -> visitor.visitTruncation(record.getTruncateFrom());
      case ENTRY -> visitor.visitEntry(RaftCodec.decode(record.getEntry()));
      default -> throw new WireException("log record of an unknown kind");
    }
  }

  /** Receives the records of segments in order. */
  public interface Visitor {

    /** Receives the start of a segment, which follows the given entry. */
    void visitBase(int group, long index, long term) throws WireException;

    /** Receives a new term and vote. */
    void visitHardState(HardState state);

    /** Receives the removal of all entries from the given index on. */
    void visitTruncation(long index);

    /** Receives the next entry. */
    void visitEntry(LogEntry entry) throws WireException;
  }
}
