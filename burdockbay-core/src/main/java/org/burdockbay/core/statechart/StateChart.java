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
 * An immutable state chart, read from text with one transition a line.
 *
 * <p>A line is {@code source -- event --> target}; {@code initial NAME} names the first state, and
 * a line that starts with {@code #} is a comment. An event without a transition from the current
 * state is a late or crossed one, and {@link #nextState} tells so by an empty result.
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
   * Reads a chart from a class path resource next to the given type.
   *
   * @throws StateChartException if the resource is missing or a line can't be read
   */
  public static StateChart load(Class<?> anchor, String resource) throws StateChartException {
    try (InputStream in = anchor.getResourceAsStream(resource)) {
      if (in == null) {
        throw new StateChartException("state chart " + resource + " is missing");
      }
      return parse(resource, new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new StateChartException("state chart " + resource + " can't be read: " + e);
    }
  }

  /**
   * Reads a chart from text.
   *
   * @throws StateChartException naming the file and line that can't be read
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
        throw new StateChartException(file + ":" + lineNumber + ": not a transition: " + line);
      } else {
        StateAndEvent step = new StateAndEvent(transition.group(1), transition.group(2));
        if (transitions.put(step, transition.group(3)) != null) {
          throw new StateChartException(file + ":" + lineNumber + ": given twice: " + line);
        }
      }
    }
    if (initial == null) {
      throw new StateChartException(file + ": no initial state");
    }
    return new StateChart(initial, transitions);
  }

  /** Returns the state in which an instance starts. */
  public String initialState() {
    return initialState;
  }

  /** Returns the state after the event, or empty if the event does nothing in this state. */
  public Optional<String> nextState(String state, String event) {
    return Optional.ofNullable(transitions.get(new StateAndEvent(state, event)));
  }

  /** Returns all states that the chart names. */
  public Set<String> states() {
    Set<String> states = new LinkedHashSet<>();
    states.add(initialState);
    transitions.forEach(
        (step, target) -> {
          states.add(step.state());
          states.add(target);
        });
    return states;
  }

  private record StateAndEvent(String state, String event) {}
}
