package org.burdockbay.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.burdockbay.core.agreement.HardState;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.Snapshot;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.wire.proto.Wire;

/** Encodes the records of segment and snapshot files. */
public final class LogRecordCodec {

  private LogRecordCodec() {}

  /** Encodes the point at which a segment begins. */
  public static byte[] base(int group, long index, long term) {
    Wire.LogRecord.Base base =
        Wire.LogRecord.Base.newBuilder().setGroup(group).setIndex(index).setTerm(term).build();
    return Wire.LogRecord.newBuilder().setBase(base).build().toByteArray();
  }

  /** Encodes term and vote. */
  public static byte[] hardState(HardState state) {
    Wire.LogRecord.HardState.Builder builder =
        Wire.LogRecord.HardState.newBuilder().setTerm(state.term());
    state.votedFor().ifPresent(voter -> builder.setVotedFor(RaftCodec.encode(voter)));
    return Wire.LogRecord.newBuilder().setHardState(builder).build().toByteArray();
  }

  /** Encodes the removal of entries. */
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
   * @throws WireException if it isn't one
   */
  public static Snapshot snapshot(byte[] bytes) throws WireException {
    try {
      return RaftCodec.decode(Wire.Snapshot.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      throw new WireException("not a snapshot", e);
    }
  }

  /**
   * Decodes a record of a segment and gives it to the visitor.
   *
   * @throws WireException if it isn't a record that this version knows
   */
  public static void decode(byte[] bytes, Visitor visitor) throws WireException {
    Wire.LogRecord record;
    try {
      record = Wire.LogRecord.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new WireException("not a log record", e);
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

  /** Told of the records of a segment in their order. */
  public interface Visitor {

    /** The segment begins after the given entry. */
    void visitBase(int group, long index, long term) throws WireException;

    /** Term and vote from here on. */
    void visitHardState(HardState state);

    /** Entries from the index on are removed. */
    void visitTruncation(long index);

    /** An entry follows. */
    void visitEntry(LogEntry entry) throws WireException;
  }
}
