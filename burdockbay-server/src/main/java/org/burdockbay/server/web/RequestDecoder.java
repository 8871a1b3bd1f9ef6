package org.burdockbay.server.web;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;

/** Decodes requests, counts the bytes of their heads and limits the number of header fields. */
final class RequestDecoder extends HttpRequestDecoder {

  /** Maximum number of header fields; short ones take many times their bytes in memory. */
  static final int MAX_HEADER_FIELDS = 100;

  private boolean inBody;
  private boolean messageComplete;
  private int headBytes;
  private int unparsedBytes;

  /**
   * Creates a decoder.
   *
   * @param maxHeaderBytes maximum size of the request line, and of all headers, in bytes
   */
  RequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxInitialLineLength(maxHeaderBytes)
            .setHeadersFactory(new LimitedHeadersFactory())
            .setTrailersFactory(new LimitedHeadersFactory()));
  }

  /** Returns how many bytes have arrived of a request whose head isn't complete. */
  int incompleteHeadBytes() {
    if (inBody) {
      return 0;
    }
    return messageComplete ? unparsedBytes : headBytes + unparsedBytes;
  }

  /** Returns the size of the head that was decoded last, in bytes. */
  int lastHeadBytes() {
    return headBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (messageComplete) {
      messageComplete = false;
      headBytes = 0;
    }
    final int before = buffer.readableBytes();
    final int firstNew = out.size();
    super.decode(context, buffer, out);
    unparsedBytes = buffer.readableBytes();
    if (!inBody) {
      headBytes += before - unparsedBytes;
    }
    for (Object message : out.subList(firstNew, out.size())) {
      inBody |= message instanceof HttpRequest;
      if (message instanceof LastHttpContent) {
        inBody = false;
        messageComplete = true;
      }
    }
  }

  private static final class LimitedHeadersFactory implements HttpHeadersFactory {

    @Override
    public HttpHeaders newHeaders() {
      return new LimitedHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return new LimitedHeaders();
    }
  }

  private static final class LimitedHeaders extends DefaultHttpHeaders {

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      checkSize();
      return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
      checkSize();
      return super.add(name, value);
    }

    private void checkSize() {
      if (size() >= MAX_HEADER_FIELDS) {
        throw new TooLongHttpHeaderException("more than " + MAX_HEADER_FIELDS + " header fields");
      }
    }
  }
}
