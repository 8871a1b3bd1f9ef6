/**
 * Durable storage in the data folder of a host: its identity, the highest epoch, and the Raft log
 * with its snapshots.
 */
package org.burdockbay.server.storage;
