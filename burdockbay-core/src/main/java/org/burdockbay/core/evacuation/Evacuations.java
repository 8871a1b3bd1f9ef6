package org.burdockbay.core.evacuation;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The failure domains that are evacuated: no task starts on their upstreams.
 *
 * @param version number of changes since the first one; 0 before it. A host replaces its set only
 *     by one with a higher version.
 * @param domains names of the evacuated failure domains
 */
public record Evacuations(long version, Set<String> domains) {

  /** The state before the first evacuation. */
  public static final Evacuations NONE = new Evacuations(0, Set.of());

  /** Copies the set. */
  public Evacuations {
    domains = Set.copyOf(domains);
  }

  /** Returns whether a failure domain is evacuated. */
  public boolean contains(String domain) {
    return domains.contains(domain);
  }

  /** Returns whether all of the given failure domains are evacuated; false if none is given. */
  public boolean containsAll(Collection<String> others) {
    return !others.isEmpty() && domains.containsAll(others);
  }

  /** Returns the next version, in which the domain is evacuated or no longer evacuated. */
  public Evacuations with(String domain, boolean evacuated) {
    Set<String> changed = new HashSet<>(domains);
    if (evacuated) {
      changed.add(domain);
    } else {
      changed.remove(domain);
    }
    return new Evacuations(version + 1, changed);
  }

  /** Returns the domains in their natural order, separated by commas; "none" if there is none. */
  public String toText() {
    return domains.isEmpty() ? "none" : String.join(",", new TreeSet<>(domains));
  }
}
