package org.burdockbay.server.host;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.server.logging.EventLog;

/**
 * Holds the evacuations in force on this host, and proposes changes of them.
 *
 * <p>The version in force only increases, so that neither a late message nor a host that reconnects
 * with an old state can revert it. Unless stated otherwise, methods must be called on the control
 * thread.
 */
public final class EvacuationKeeper {

  /**
   * Time from the arrival of an order until it may no longer be based on a newer version, in
   * milliseconds. The operator sends an order that isn't answered within a second again, and may
   * have sent another one after that.
   */
  static final long ORDER_VALIDITY_MILLIS = 900;

  private final BiConsumer<ControlCommand, Consumer<ControlReply>> proposer;
  private final Consumer<Evacuations> onInForce;
  private final EventLog log;
  private final Clock clock;
  private volatile Evacuations current = Evacuations.NONE;

  /**
   * Creates a keeper without evacuations.
   *
   * @param proposer proposes a command to the voters and passes their reply on
   * @param onInForce called on the control thread after a version has come into force
   */
  public EvacuationKeeper(
      BiConsumer<ControlCommand, Consumer<ControlReply>> proposer,
      Consumer<Evacuations> onInForce,
      EventLog log,
      Clock clock) {
    this.proposer = proposer;
    this.onInForce = onInForce;
    this.log = log;
    this.clock = clock;
  }

  /** Returns the evacuations in force; safe on any thread. */
  public Evacuations current() {
    return current;
  }

  /** Puts evacuations in force that the voters agreed on or another host has in force, if newer. */
  public void offer(Evacuations offered, String origin) {
    if (offered.version() <= current.version()) {
      return;
    }
    log.info(
        "evacuations-in-force",
        "version="
            + offered.version()
            + " before="
            + current.version()
            + " domains="
            + offered.toText()
            + " source="
            + origin);
    current = offered;
    onInForce.accept(offered);
  }

  /**
   * Starts or ends the evacuation of a failure domain.
   *
   * @param callback receives {@link ControlReply.Accepted} once a majority of the voters has stored
   *     the change, or another reply if it isn't known to be accepted
   */
  public void change(String domain, boolean evacuated, Consumer<ControlReply> callback) {
    propose(domain, evacuated, current.version(), clock.millis(), callback);
  }

  /**
   * Proposes a change, and proposes it again if another change was agreed first that this host
   * didn't know, unless the order has become too old.
   */
  private void propose(
      String domain,
      boolean evacuated,
      long version,
      long arrivedAt,
      Consumer<ControlReply> callback) {
    proposer.accept(
        new ControlCommand.ChangeEvacuation(domain, evacuated, version),
        reply -> {
          boolean valid = clock.millis() - arrivedAt < ORDER_VALIDITY_MILLIS;
          if (reply instanceof ControlReply.VersionConflict conflict && valid) {
            propose(domain, evacuated, conflict.currentVersion(), arrivedAt, callback);
            return;
          }
          log.info(
              evacuated ? "evacuation-requested" : "evacuation-withdrawn",
              "domain="
                  + domain
                  + " age="
                  + (clock.millis() - arrivedAt)
                  + " outcome="
                  + (reply instanceof ControlReply.Accepted accepted
                      ? "version-" + accepted.version()
                      : "unknown"));
          callback.accept(reply);
        });
  }
}
