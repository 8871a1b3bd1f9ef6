/**
 * HTTP/1.1 on the event loops of the host, for machines where a web framework is too large: a
 * server that hands whole requests to a handler, and a client that keeps connections open.
 */
package org.burdockbay.server.web;
