/**
 * Consensus among the voters of a group: the Raft protocol (Ongaro and Ousterhout 2014) as a
 * deterministic state machine.
 *
 * <p>{@link org.burdockbay.core.agreement.RaftNode} takes messages, proposals, completions of syncs
 * and the current time, and returns {@link org.burdockbay.core.agreement.RaftEffect}s. The driver
 * writes and syncs the content of each {@link org.burdockbay.core.agreement.RaftEffect.Persist} and
 * then reports its ticket. Messages that promise durability to another voter are held back until
 * then.
 */
package org.burdockbay.core.agreement;
