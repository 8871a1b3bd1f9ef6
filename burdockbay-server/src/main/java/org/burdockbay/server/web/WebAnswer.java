package org.burdockbay.server.web;

import org.burdockbay.core.agreement.Bytes;

/**
 * The whole answer to a {@link WebCall}.
 *
 * @param status the status code
 * @param body the body
 */
public record WebAnswer(int status, Bytes body) {}
