package org.burdockbay.core.agreement;

import java.util.Arrays;

/** Immutable sequence of bytes. */
public final class Bytes {

  /** The empty sequence. */
  public static final Bytes EMPTY = new Bytes(new byte[0]);

  private final byte[] content;

  private Bytes(byte[] content) {
    this.content = content;
  }

  /** Returns a sequence with a copy of the array. */
  public static Bytes copyOf(byte[] content) {
    return new Bytes(content.clone());
  }

  /** Returns a copy of the content. */
  public byte[] toArray() {
    return content.clone();
  }

  /** Returns the subsequence from {@code from}, inclusive, to {@code to}, exclusive. */
  public Bytes slice(int from, int to) {
    return new Bytes(Arrays.copyOfRange(content, from, to));
  }

  /** Returns the concatenation of this sequence and another one. */
  public Bytes concat(Bytes other) {
    byte[] joined = Arrays.copyOf(content, content.length + other.content.length);
    System.arraycopy(other.content, 0, joined, content.length, other.content.length);
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
