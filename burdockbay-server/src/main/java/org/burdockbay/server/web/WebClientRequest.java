package org.burdockbay.server.web;

import org.burdockbay.core.agreement.Bytes;

/**
 * A request to another process.
 *
 * @param head address, method, path and headers
 * @param body a JSON body
 * @param timeoutMillis time limit for the complete response, in milliseconds
 */
public record WebClientRequest(WebRequestHead head, Bytes body, long timeoutMillis) {}
