package org.burdockbay.server.host;

import java.util.function.Consumer;
import org.burdockbay.core.configuration.ConfigurationException;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.server.logging.EventLog;

/**
 * Holds the configuration in force on this host.
 *
 * <p>The version in force only increases, so that neither a late message nor a host that reconnects
 * with an old state can revert it.
 */
public final class ConfigurationKeeper {

  private final EventLog log;
  private volatile DispatchConfiguration current = DispatchConfiguration.EMPTY;

  /** Creates a keeper without a configuration. */
  public ConfigurationKeeper(EventLog log) {
    this.log = log;
  }

  /** Returns the configuration in force; safe on any thread. */
  public DispatchConfiguration current() {
    return current;
  }

  /** Puts a version in force if it is newer, and then notifies the listener. */
  public void offer(long version, String text, Consumer<DispatchConfiguration> listener) {
    if (version <= current.version()) {
      return;
    }
    try {
      current = DispatchConfiguration.parse("configuration", version, text);
      log.info("configuration-in-force", "version=" + version);
      listener.accept(current);
    } catch (ConfigurationException e) {
      // Validated before it was accepted, but possibly by another release. The current version
      // stays in force.
      log.error("configuration-unreadable", "version=" + version, e);
    }
  }
}
