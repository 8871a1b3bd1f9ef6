/**
 * Protobuf encoding of messages between hosts and of records in data folders.
 *
 * <p>Decoding is strict: a malformed or unknown message is refused with a {@link
 * org.burdockbay.wire.WireException} and never decoded in part.
 */
package org.burdockbay.wire;
