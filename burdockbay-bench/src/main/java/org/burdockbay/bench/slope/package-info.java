/** Cost of one task, ledger record, runner or host in the core, for docs/CAPACITY.md. */
package org.burdockbay.bench.slope;
