package org.burdockbay.core.agreement;

/**
 * Identity of a member: the host and the incarnation of its data folder.
 *
 * <p>A host whose disk was erased gets a new incarnation and is therefore a different member.
 * Otherwise it could vote twice in the same term, and a committed entry could be lost.
 *
 * @param host id of the host
 * @param incarnation number generated when the data folder is created
 */
public record VoterId(String host, long incarnation) {

  @Override
  public String toString() {
    return host + "#" + incarnation;
  }
}
