/**
 * Protobuf encoding of messages between hosts and of records in data folders.
 *
 * <p>A message that is malformed or of an unknown kind is refused with a {@link
 * org.burdockbay.wire.WireException} and never decoded in part.
 */
package org.burdockbay.wire;
