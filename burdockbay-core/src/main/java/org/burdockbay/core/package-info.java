/**
 * Decision logic of the dispatcher, as deterministic state machines.
 *
 * <p>Each state machine takes an event and the current time in milliseconds and returns effects.
 * None of them accesses a clock, socket, file, source of randomness or thread. A seed or a recorded
 * trace therefore replays a run exactly, and another program can embed a state machine behind its
 * own transport and storage.
 */
package org.burdockbay.core;
