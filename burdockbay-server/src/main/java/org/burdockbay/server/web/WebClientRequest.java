package org.burdockbay.server.web;

import org.burdockbay.core.agreement.Bytes;

/**
 * A request to another process.
 *
 * @param head where to send it, and what it asks for
 * @param body a JSON body
 * @param timeoutMillis longest time until the whole answer is there, in milliseconds
 */
public record WebClientRequest(WebRequestHead head, Bytes body, long timeoutMillis) {}
