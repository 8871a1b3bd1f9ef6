package org.burdockbay.core.runner;

/**
 * Identifies one instance of a runner process.
 *
 * <p>A runner that restarts under the same name and address is another runner: it has lost its
 * attempts, so work meant for the earlier instance must not reach it.
 *
 * @param name the name that the runner announces
 * @param incarnation a number that differs between instances of the process
 */
public record RunnerId(String name, long incarnation) {

  @Override
  public String toString() {
    return name + "#" + incarnation;
  }
}
