/** The replicated state machine of the agreement log: configuration, catalog and ledger. */
package org.burdockbay.core.control;
