package org.burdockbay.core.agreement;

import java.util.Arrays;

/** An immutable sequence of bytes. */
public final class Bytes {

  /** No bytes. */
  public static final Bytes EMPTY = new Bytes(new byte[0]);

  private final byte[] content;

  private Bytes(byte[] content) {
    this.content = content;
  }

  /** Returns a copy of the array as bytes. */
  public static Bytes copyOf(byte[] content) {
    return new Bytes(content.clone());
  }

  /** Returns a copy of the content. */
  public byte[] toArray() {
    return content.clone();
  }

  /** Returns a part of the bytes. */
  public Bytes slice(int from, int to) {
    return new Bytes(Arrays.copyOfRange(content, from, to));
  }

  /** Returns these bytes followed by others. */
  public Bytes concat(Bytes more) {
    byte[] joined = Arrays.copyOf(content, content.length + more.content.length);
    System.arraycopy(more.content, 0, joined, content.length, more.content.length);
    return new Bytes(joined);
  }

  /** Returns the number of bytes. */
  public int size() {
    return content.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Bytes bytes && Arrays.equals(content, bytes.content);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(content);
  }

  @Override
  public String toString() {
    return content.length + " bytes";
  }
}
