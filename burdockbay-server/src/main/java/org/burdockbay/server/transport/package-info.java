/** Connections between hosts: protobuf over Netty, authenticated by a shared secret. */
package org.burdockbay.server.transport;
