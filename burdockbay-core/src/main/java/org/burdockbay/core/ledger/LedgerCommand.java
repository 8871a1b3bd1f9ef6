package org.burdockbay.core.ledger;

import org.burdockbay.core.dispatch.LedgerRequest;

/**
 * A request from the dispatcher of a failure domain, as replicated in the agreement log.
 *
 * @param domain the failure domain of the dispatcher
 * @param request the request
 */
public record LedgerCommand(String domain, LedgerRequest request) {}
