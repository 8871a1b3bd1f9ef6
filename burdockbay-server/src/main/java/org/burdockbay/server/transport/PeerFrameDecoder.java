package org.burdockbay.server.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.ByteOrder;

/** Decodes length-prefixed frames, which are short until the other end is authenticated. */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {

  static final int LENGTH_FIELD_BYTES = 4;

  /** Maximum size of a frame, in bytes: a part of the heap. */
  static final int MAX_FRAME_BYTES =
      Math.toIntExact(Math.min(64 * 1024 * 1024, Runtime.getRuntime().maxMemory() / 16));

  /** Maximum size of a frame before the end of the handshake, in bytes. */
  static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

  private boolean authenticated;

  PeerFrameDecoder() {
    super(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
  }

  /** Allows frames of all sizes from now on. */
  void handshakeCompleted() {
    authenticated = true;
  }

  @Override
  protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
    long frameBytes = super.getUnadjustedFrameLength(buffer, offset, length, order);
    if (!authenticated && frameBytes > MAX_HANDSHAKE_FRAME_BYTES) {
      throw new TooLongFrameException(
          "frame of "
              + frameBytes
              + " bytes during the handshake, at most "
              + MAX_HANDSHAKE_FRAME_BYTES
              + " are accepted");
    }
    return frameBytes;
  }
}
