package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("more follows at " + json.at);
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  /** Returns a whole number of an object; the default if there is none. */
  static long number(Map<String, Object> object, String field, long missing) {
    return object.get(field) instanceof Number number ? number.longValue() : missing;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    switch (value) {
      case null -> out.append("null");
      case Map<?, ?> map -> {
        String separator = "{";
        for (Map.Entry<?, ?> entry : map.entrySet()) {
          out.append(separator);
          write(entry.getKey().toString(), out);
          out.append(':');
          write(entry.getValue(), out);
          separator = ",";
        }
        out.append(map.isEmpty() ? "{}" : "}");
      }
      case List<?> list -> {
        out.append('[');
        for (int i = 0; i < list.size(); i++) {
          out.append(i == 0 ? "" : ",");
          write(list.get(i), out);
        }
        out.append(']');
      }
      case String string -> {
        out.append('"');
        for (char c : string.toCharArray()) {
          if (c == '"' || c == '\\') {
            out.append('\\').append(c);
          } else if (c < ' ') {
            out.append(String.format("\\u%04x", (int) c));
          } else {
            out.append(c);
          }
        }
        out.append('"');
      }
      default -> out.append(value);
    }
  }

  private Object value() {
    space();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      for (space(); text.charAt(at) != '}'; space()) {
        String name = string();
        expect(':');
        map.put(name, value());
        space();
        if (text.charAt(at) == ',') {
          at++;
          space();
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      for (space(); text.charAt(at) != ']'; space()) {
        list.add(value());
        space();
        if (text.charAt(at) == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> {
        if (word.matches("-?\\d+")) {
          yield Long.parseLong(word);
        }
        yield Double.parseDouble(word);
      }
    };
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        char escaped = text.charAt(at++);
        switch (escaped) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'b' -> out.append('\b');
          case 'f' -> out.append('\f');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> out.append(escaped);
        }
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
  }

  private void expect(char c) {
    space();
    if (text.charAt(at) != c) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
    at++;
  }

  private void space() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }
}
