package org.burdockbay.server.web;

import org.burdockbay.core.agreement.Bytes;

/**
 * The complete response to a {@link WebClientRequest}.
 *
 * @param status the status code
 * @param body the body
 */
public record WebClientResponse(int status, Bytes body) {}
