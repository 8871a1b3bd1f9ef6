/**
 * HTTP/1.1 on the event loops of the host, for machines where a web framework is too large.
 *
 * <p>The server passes complete requests to a handler; the client uses persistent connections.
 */
package org.burdockbay.server.web;
