package org.burdockbay.core.statechart;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An immutable statechart that is parsed from text with one transition per line.
 *
 * <p>A transition is written {@code source -- event --> target}. The line {@code initial NAME}
 * defines the initial state, and a line that starts with {@code #} is a comment. An event may
 * arrive late or cross another one, and then has no transition from the current state; {@link
 * #nextState} returns empty for it.
 */
public final class StateChart {

  private static final Pattern TRANSITION =
      Pattern.compile("([a-z-]+)\\s+--\\s+([a-z-]+)\\s+-->\\s+([a-z-]+)");
  private static final Pattern INITIAL = Pattern.compile("initial\\s+([a-z-]+)");

  private final String initialState;
  private final Map<StateAndEvent, String> transitions;

  private StateChart(String initial, Map<StateAndEvent, String> transitions) {
    this.initialState = initial;
    this.transitions = Map.copyOf(transitions);
  }

  /**
   * Loads a statechart from a class path resource in the package of the given type.
   *
   * @throws StateChartException if the resource is missing, unreadable or invalid
   */
  public static StateChart load(Class<?> type, String resource) throws StateChartException {
    try (InputStream in = type.getResourceAsStream(resource)) {
      if (in == null) {
        throw new StateChartException("statechart resource " + resource + " not found");
      }
      return parse(resource, new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new StateChartException("failed to read statechart resource " + resource + ": " + e);
    }
  }

  /**
   * Parses a statechart.
   *
   * @param file name of the source in messages
   * @throws StateChartException if a line is invalid, a transition is defined twice or there is no
   *     initial state
   */
  public static StateChart parse(String file, String text) throws StateChartException {
    String initial = null;
    Map<StateAndEvent, String> transitions = new HashMap<>();
    int lineNumber = 0;
    for (String raw : text.split("\n", -1)) {
      lineNumber++;
      String line = raw.strip();
      if (line.isEmpty() || line.startsWith("#")) {
        continue;
      }
      Matcher first = INITIAL.matcher(line);
      Matcher transition = TRANSITION.matcher(line);
      if (first.matches()) {
        initial = first.group(1);
      } else if (!transition.matches()) {
        throw new StateChartException(
            file
                + ":"
                + lineNumber
                + ": expected a transition or the initial state, found: "
                + line);
      } else {
        StateAndEvent source = new StateAndEvent(transition.group(1), transition.group(2));
        if (transitions.put(source, transition.group(3)) != null) {
          throw new StateChartException(
              file + ":" + lineNumber + ": duplicate transition: " + line);
        }
      }
    }
    if (initial == null) {
      throw new StateChartException(file + ": initial state not defined");
    }
    return new StateChart(initial, transitions);
  }

  /** Returns the initial state. */
  public String initialState() {
    return initialState;
  }

  /** Returns the state after the event, or empty if the state has no transition for the event. */
  public Optional<String> nextState(String state, String event) {
    return Optional.ofNullable(transitions.get(new StateAndEvent(state, event)));
  }

  /** Returns all states of the statechart. */
  public Set<String> states() {
    Set<String> states = new LinkedHashSet<>();
    states.add(initialState);
    transitions.forEach(
        (source, target) -> {
          states.add(source.state());
          states.add(target);
        });
    return states;
  }

  private record StateAndEvent(String state, String event) {}
}
